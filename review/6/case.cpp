// One server of ten stands still in the middle of uploads. Each client of a request that was taken is owed
// one final answer within its time.
#include <atomic>
#include <cstdlib>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include "balancer.hpp"
#include "client.hpp"
#include "discovery.hpp"

using namespace review;

namespace {

constexpr int servers = 10;  // one that stands still is 10% of them
constexpr int uploads_per_round = 10;
constexpr int rounds = 5;
constexpr double round_interval_ms = 1500;
// More than the system takes for a server that does not read, and so little that a client can write it all.
constexpr std::size_t body_bytes = 4608 * 1024;
constexpr int server_receive_buffer_bytes = 64 * 1024;
constexpr double budget_ms = 2500;
// An answer up to half a second late only earns nothing; each time limit is 50 ms longer on sockets.
constexpr double late_but_not_lost_ms = 500 + 50;
constexpr double stands_still_ms = 15000;
constexpr double send_timeout_ms = 5000;
constexpr double server_work_ms = 20;
constexpr double forever_ms = 1e12;

const char* const settings = R"({
  "discovery": "automatic", "zones": ["a"], "skus": ["m"], "stage": 0, "stages": ["front"],
  "replicas_of_me": 1, "my_number": 0, "zone": 0, "weights": "off", "tick_ms": 5.0,
  "path_prefixes": [
    {"name": "enrol", "repeat": "at_most_once", "group": "all", "key_ttl_ms": 0,
     "target_latency_ms": 1000, "client_timeout_ms": 2500, "earnings": 8}],
  "tenants": [{"name": "acme", "share": 1.0, "quota_rps": 0}],
  "report": {"how": "off", "columns": []},
  "rules": {"stop_sending_within_ms": 400, "cold_share": 0.31, "warm_after_ms": 7800,
            "overload_factor": 2.5, "overload_for_ms": 3000},
  "limits": {"max_backend_fetches": 3, "second_copies": true, "cancelling": true, "probes": false,
             "retry_after": false, "max_retry_after_ms": 2000, "conn_idle_ms": 30000,
             "dial_timeout_ms": 250, "most_held": 20000}
})";

// What happened to the uploads, counted over all threads.
struct Counts {
  std::atomic<int> not_taken = 0;    // their last byte could not be written
  std::atomic<int> answered = 0;     // in time
  std::atomic<int> lost = 0;         // no final answer in time
  std::atomic<int> met_trouble = 0;  // taken, and begun at the server that stands still
};

// The ids of the uploads that the server that stands still has begun to read.
class BegunUploads {
 public:
  void add(const std::string& id) {
    std::lock_guard lock(mutex_);
    ids_.insert(id);
  }
  [[nodiscard]] bool has(const std::string& id) {
    std::lock_guard lock(mutex_);
    return ids_.contains(id);
  }

 private:
  std::mutex mutex_;
  std::set<std::string> ids_;
};

// A server that reads a request, works on it and answers. `stand_still`, if set, is called between the head
// and the body.
void serve(Record& record, int number, const std::function<void(const std::string& id)>& stand_still,
           Socket& connection) {
  MessageReader reader(connection);
  Message request;
  while (reader.read_head(request, forever_ms) == Io::done) {
    auto id = request.field("x-call-id");
    if (stand_still) stand_still(id);
    if (Io io = reader.read_body(request, forever_ms); io != Io::done) {
      record.line("server %d: request %s %s after %zu bytes of its body", number, id.c_str(), name_of(io),
                  request.body.size());
      return;
    }
    record.line("server %d: request %s is whole and runs", number, id.c_str());
    sleep_ms(server_work_ms);
    std::string body = "done " + id;
    std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (connection.send_all(head + body, now_ms() + send_timeout_ms) != Io::done) return;
  }
}

void upload(Record& record, const std::string& balancer, BegunUploads& begun, Counts& counts) {
  ClientRequest request{.method = "POST",
                        .target = "/enrol/1",
                        .id = new_id(),
                        .key = {},
                        .budget_ms = budget_ms,
                        .body = std::string(body_bytes, 'x')};
  auto outcome = send_request(balancer, request, send_timeout_ms, budget_ms + late_but_not_lost_ms);
  if (outcome.sent != Io::done) {
    ++counts.not_taken;
    return record.line("client: request %s not taken: its last byte could not be written",
                       request.id.c_str());
  }
  double after_ms = outcome.answered_at_ms - outcome.sent_at_ms;
  bool is_final = outcome.answered == Io::done && outcome.status > 0;
  bool is_right = outcome.status != 200 || outcome.body == "done " + request.id;
  ++(is_final && is_right ? counts.answered : counts.lost);
  if (begun.has(request.id)) ++counts.met_trouble;
  record.line("client: request %s of %.0f ms: status %d, answer %s, %.0f ms after its last byte%s",
              request.id.c_str(), budget_ms, outcome.status, name_of(outcome.answered), after_ms,
              is_final && is_right ? "" : " - LOST");
}

void send_uploads(Record& record, const std::string& balancer, BegunUploads& begun, Counts& counts) {
  std::vector<std::thread> clients;
  for (int round = 0; round < rounds; ++round) {
    for (int i = 0; i < uploads_per_round; ++i)
      clients.emplace_back([&] { upload(record, balancer, begun, counts); });
    sleep_ms(round_interval_ms);
  }
  for (auto& client : clients) client.join();
}

int run(const std::string& record_path, const std::string& command, bool trouble) {
  Record record(record_path);
  Counts counts;
  BegunUploads begun;
  std::atomic<double> still_until_ms = 0;
  std::atomic<bool> ending = false;
  auto stand_still = [&](const std::string& id) {
    if (now_ms() >= still_until_ms) return;
    begun.add(id);
    record.line("server 0: stands still, request %s has begun", id.c_str());
    while (now_ms() < still_until_ms && !ending) sleep_ms(10);
  };
  std::vector<std::unique_ptr<Server>> fleet;
  std::vector<Host> hosts;
  for (int i = 0; i < servers; ++i) {
    std::function<void(const std::string&)> disruption;
    if (i == 0) disruption = stand_still;
    fleet.push_back(std::make_unique<Server>(
        "127.0.0.1", [&record, i, disruption](Socket& socket) { serve(record, i, disruption, socket); },
        server_receive_buffer_bytes));
    hosts.push_back({.name = "s" + std::to_string(i), .address = fleet.back()->address(), .block = i});
  }
  Discovery discovery(hosts);
  Balancer balancer(command,
                    {.discovery = discovery.address(), .known = discovery.whole_list(), .settings = settings},
                    record);
  if (!balancer.wait_ready(10000)) {
    record.line("the balancer does not become ready");
    return 2;
  }
  record.line("the disruption is %s", trouble ? "on" : "off");
  if (trouble) still_until_ms = now_ms() + stands_still_ms;
  send_uploads(record, balancer.address(), begun, counts);
  // Long enough to see what the server that stood still gets afterwards.
  sleep_ms(still_until_ms + 1000 - now_ms());
  bool crashed = !balancer.running();
  ending = true;
  record.line(
      "uploads: answered %d, lost %d, not taken %d; taken and begun at the server that stands still: %d",
      counts.answered.load(), counts.lost.load(), counts.not_taken.load(), counts.met_trouble.load());
  if (crashed || counts.lost > 0) return 1;
  bool could_judge = counts.answered > 0 && (!trouble || counts.met_trouble > 0);
  return could_judge ? 0 : 2;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  const char* trouble = std::getenv("TROUBLE");
  try {
    return run(argv[1], argv[2], !trouble || std::string(trouble) != "0");
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
