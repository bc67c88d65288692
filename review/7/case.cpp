// Three servers of twelve stand still for half a second every few seconds, in the middle of long answers, and
// then go on. A long answer whose first bytes came in time is owed whole to its client.
#include <atomic>
#include <cstdlib>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "balancer.hpp"
#include "client.hpp"
#include "discovery.hpp"

using namespace review;

namespace {

constexpr int servers = 12;
constexpr int pausing_servers = 3;  // 25% of them
constexpr double pause_ms = 500;
constexpr double between_pauses_ms = 2700;
constexpr int requests = 800;
constexpr double request_interval_ms = 25;
constexpr double work_ms = 250;
// A server writes its answer in pieces, as one does that does not know its length beforehand.
constexpr std::size_t piece_bytes = 16 * 1024;
constexpr int pieces = 16;
constexpr int pieces_before_pause = 2;
constexpr double budget_ms = 700;  // the time that the caller has left
// Up to half a second late the first bytes only earn nothing; each time limit is 50 ms longer on sockets.
constexpr double late_but_not_lost_ms = 500 + 50;
// The rest may take as long as the server takes; it may be held back for 2 s.
constexpr double rest_of_answer_ms = pause_ms + 2000 + 50;
constexpr double send_timeout_ms = 2000;
constexpr double forever_ms = 1e12;

const char* const settings = R"({
  "discovery": "subscribe", "zones": ["san-fernando"], "skus": ["m"], "stage": 0, "stages": ["ecl-gateway"],
  "replicas_of_me": 1, "my_number": 0, "zone": 0, "weights": "off", "tick_ms": 5.0,
  "path_prefixes": [
    {"name": "address-update", "repeat": "deduplicated", "group": "cell", "key_ttl_ms": 10000,
     "target_latency_ms": 2500, "client_timeout_ms": 6000, "earnings": 8}],
  "tenants": [],
  "report": {"how": "off", "columns": []},
  "rules": {"stop_sending_within_ms": 2000, "soft_removal": true, "cold_share": 0.33, "warm_after_ms": 8800,
            "overload_factor": 3, "overload_for_ms": 1500, "ask_within_ms": 4000},
  "limits": {"max_backend_fetches": 5, "second_copies": false, "cancelling": true, "probes": false,
             "retry_after": true, "max_retry_after_ms": 2000, "conn_idle_ms": 30000,
             "dial_timeout_ms": 250, "most_held": 20000}
})";

struct Counts {
  std::atomic<int> whole = 0;  // 200 with the whole answer
  std::atomic<int> other = 0;  // another status
  std::atomic<int> lost = 0;
  std::atomic<int> pauses = 0;
};

std::string answer_to(const std::string& id) {
  std::string body = "answer to " + id + ": ";
  body.resize(piece_bytes * pieces, 'a');
  return body;
}

std::string as_chunk(const std::string& text) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

// One server. It stands still, with all that it does, while `still_until_ms` has not passed.
class PausingServer {
 public:
  PausingServer(Record& record, Counts& counts, int number, bool pauses)
      : record_(record), counts_(counts), number_(number), pauses_(pauses) {}

  void serve(Socket& connection) {
    MessageReader reader(connection);
    Message request;
    while (reader.read(request, forever_ms) == Io::done) {
      auto id = request.field("x-call-id");
      record_.line("server %d: request %s runs", number_, id.c_str());
      sleep_ms(work_ms);
      wait_while_still();
      Io io = send_answer(connection, id);
      record_.line("server %d: answer to request %s: %s", number_, id.c_str(),
                   io == Io::done ? "given whole" : "the balancer has closed the connection");
      if (io != Io::done) return;
    }
  }

 private:
  Io send_answer(Socket& connection, const std::string& id) {
    std::string body = answer_to(id);
    std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    Io io = connection.send_all(head, now_ms() + send_timeout_ms);
    for (int piece = 0; io == Io::done && piece < pieces; ++piece) {
      if (piece == pieces_before_pause) stand_still_if_due(id);
      wait_while_still();
      auto text = body.substr(static_cast<std::size_t>(piece) * piece_bytes, piece_bytes);
      io = connection.send_all(as_chunk(text), now_ms() + send_timeout_ms);
    }
    return io == Io::done ? connection.send_all("0\r\n\r\n", now_ms() + send_timeout_ms) : io;
  }

  void stand_still_if_due(const std::string& id) {
    double due_ms = next_pause_at_ms_;
    if (!pauses_ || now_ms() < due_ms) return;
    if (!next_pause_at_ms_.compare_exchange_strong(due_ms, now_ms() + pause_ms + between_pauses_ms)) return;
    still_until_ms_ = now_ms() + pause_ms;
    ++counts_.pauses;
    record_.line("server %d: stands still for %.0f ms in the middle of its answer to request %s", number_,
                 pause_ms, id.c_str());
  }

  void wait_while_still() { sleep_ms(still_until_ms_ - now_ms()); }

  Record& record_;
  Counts& counts_;
  int number_;
  bool pauses_;
  std::atomic<double> still_until_ms_ = 0;
  std::atomic<double> next_pause_at_ms_ = 0;
};

void ask(Record& record, const std::string& balancer, Counts& counts) {
  ClientRequest request{.method = "POST",
                        .target = "/address-update/1",
                        .id = new_id(),
                        .key = new_id(),
                        .budget_ms = budget_ms,
                        .body = "an address"};
  Socket socket = connect_to(balancer, now_ms() + send_timeout_ms);
  if (!socket.open() || socket.send_all(request.text(), now_ms() + send_timeout_ms) != Io::done)
    return record.line("client: request %s could not be sent", request.id.c_str());
  double sent_at_ms = now_ms();
  MessageReader reader(socket);
  Message answer;
  Io io = reader.read_head(answer, sent_at_ms + budget_ms + late_but_not_lost_ms);
  double first_bytes_ms = now_ms() - sent_at_ms;
  if (io == Io::done) io = reader.read_body(answer, now_ms() + rest_of_answer_ms);
  bool is_right = answer.status() != 200 || answer.body == answer_to(request.id);
  bool is_lost = io != Io::done || !is_right;
  ++(is_lost ? counts.lost : answer.status() == 200 ? counts.whole : counts.other);
  record.line(
      "client: request %s of %.0f ms: status %d after %.0f ms, answer %s, %zu bytes of its body, %.0f ms%s",
      request.id.c_str(), budget_ms, answer.status(), first_bytes_ms, name_of(io), answer.body.size(),
      now_ms() - sent_at_ms, is_lost ? " - LOST" : "");
}

int run(const std::string& record_path, const std::string& command, bool trouble) {
  Record record(record_path);
  Counts counts;
  std::vector<std::unique_ptr<PausingServer>> behaviours;
  std::vector<std::unique_ptr<Server>> fleet;
  std::vector<Host> hosts;
  for (int i = 0; i < servers; ++i) {
    behaviours.push_back(std::make_unique<PausingServer>(record, counts, i, trouble && i < pausing_servers));
    auto* behaviour = behaviours.back().get();
    fleet.push_back(
        std::make_unique<Server>("127.0.0.1", [behaviour](Socket& socket) { behaviour->serve(socket); }));
    hosts.push_back({.name = "s" + std::to_string(i),
                     .address = fleet.back()->address(),
                     .site = "san-fernando",
                     .block = i / 3});
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
  std::vector<std::thread> clients;
  for (int i = 0; i < requests; ++i) {
    clients.emplace_back([&] { ask(record, balancer.address(), counts); });
    sleep_ms(request_interval_ms);
  }
  for (auto& client : clients) client.join();
  bool crashed = !balancer.running();
  for (auto& server : fleet) server->stop();
  record.line("long answers: whole %d, other status %d, lost %d; pauses in the middle of one: %d",
              counts.whole.load(), counts.other.load(), counts.lost.load(), counts.pauses.load());
  if (crashed || counts.lost > 0) return 1;
  return counts.whole > 0 && (!trouble || counts.pauses > 0) ? 0 : 2;
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
