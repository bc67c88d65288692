// Many clients read long answers slowly. The requests of the other clients are owed their final answers.
#include <atomic>
#include <cstdlib>
#include <memory>
#include <thread>
#include <vector>

#include "balancer.hpp"
#include "client.hpp"
#include "discovery.hpp"

using namespace review;

namespace {

constexpr int servers = 10;
constexpr int slow_clients = 280;  // with the others 300, under a third of the 1,024 descriptors
constexpr std::size_t long_answer_bytes = 16 * 1024 * 1024;
constexpr double slow_bytes_per_ms = 64;
constexpr std::size_t slow_read_bytes = 6400;
constexpr int slow_receive_buffer_bytes = 16 * 1024;
constexpr int memory_mb = 64;  // of 32 to 192
constexpr int usual_clients = 20;
constexpr int requests_per_client = 80;
constexpr double pause_ms = 80;  // of a usual client between two requests
constexpr std::size_t usual_answer_bytes = 300;
constexpr double budget_ms = 2500;
constexpr double late_but_not_lost_ms = 500 + 50;
constexpr double server_work_ms = 20;
constexpr double send_timeout_ms = 2000;
constexpr double forever_ms = 1e12;

const char* const settings = R"({
  "discovery": "automatic", "zones": ["a"], "skus": ["m"], "stage": 0, "stages": ["front"],
  "replicas_of_me": 1, "my_number": 0, "zone": 0, "weights": "off", "tick_ms": 5.0,
  "path_prefixes": [
    {"name": "view", "repeat": "idempotent", "group": "all", "key_ttl_ms": 0,
     "target_latency_ms": 1000, "client_timeout_ms": 2500, "earnings": 1},
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

// Counts of the usual clients' requests.
struct Counts {
  std::atomic<int> served = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> failed = 0;
  std::atomic<int> lost = 0;
  std::atomic<int> slow_answers_begun = 0;
};

std::string answer_to(const std::string& id, std::size_t bytes) {
  std::string body = "answer to " + id + ": ";
  body.resize(bytes, 'a');
  return body;
}

std::string head_of_answer(std::size_t body_bytes) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
}

// Sends a long answer piece by piece, so that it need not lie in memory.
Io send_long_answer(Socket& connection) {
  const std::string piece(64 * 1024, 'a');
  Io io = connection.send_all(head_of_answer(long_answer_bytes), forever_ms);
  for (std::size_t sent = 0; io == Io::done && sent < long_answer_bytes; sent += piece.size())
    io = connection.send_all(piece, forever_ms);
  return io;
}

void serve(Record& record, int number, Socket& connection) {
  MessageReader reader(connection);
  Message request;
  while (reader.read(request, forever_ms) == Io::done) {
    auto id = request.field("x-call-id");
    record.line("server %d: request %s runs", number, id.c_str());
    sleep_ms(server_work_ms);
    Io io = Io::done;
    if (request.target() == "/view/report")
      io = send_long_answer(connection);
    else
      io = connection.send_all(head_of_answer(usual_answer_bytes) + answer_to(id, usual_answer_bytes),
                               forever_ms);
    if (io != Io::done) return;
  }
}

// Reads a long answer, slowly or, without the disruption, as fast as it comes.
void read_long_answer(Record& record, const std::string& balancer, bool slowly,
                      const std::atomic<bool>& ending, Counts& counts) {
  ClientRequest request{
      .target = "/view/report", .id = new_id(), .key = {}, .budget_ms = budget_ms, .body = {}};
  Socket socket = connect_to(balancer, now_ms() + send_timeout_ms, slow_receive_buffer_bytes);
  if (!socket.open() || socket.send_all(request.text(), now_ms() + send_timeout_ms) != Io::done)
    return record.line("long answer: request %s could not be sent", request.id.c_str());
  std::size_t total = 0;
  Io io = Io::done;
  while (!ending && io == Io::done && total < long_answer_bytes) {
    std::string piece;
    io = socket.receive(piece, now_ms() + send_timeout_ms, slowly ? slow_read_bytes : long_answer_bytes);
    if (total == 0 && piece.starts_with("HTTP/1.1 200")) ++counts.slow_answers_begun;
    total += piece.size();
    if (slowly) sleep_ms(static_cast<double>(piece.size()) / slow_bytes_per_ms);
  }
  record.line("long answer: request %s: %zu bytes read", request.id.c_str(), total);
}

// A client that keeps its connection. If that ends with no byte of an answer, it sends the request once more
// on a new one.
class UsualClient {
 public:
  UsualClient(Record& record, std::string balancer, Counts& counts)
      : record_(record), balancer_(std::move(balancer)), counts_(counts) {}

  void run() {
    for (int i = 0; i < requests_per_client; ++i) {
      bool is_view = i % 2 == 0;
      ask({.method = is_view ? "GET" : "POST",
           .target = is_view ? "/view/1" : "/enrol/1",
           .id = new_id(),
           .key = {},
           .budget_ms = budget_ms,
           .body = is_view ? "" : std::string(usual_answer_bytes, 'x')});
      sleep_ms(pause_ms);
    }
  }

 private:
  void ask(const ClientRequest& request) {
    double sent_at_ms = now_ms();
    Message answer;
    Io io = exchange(request, answer);
    bool is_unanswered = io == Io::ended || io == Io::broken;
    bool sent_again = is_unanswered && answer.start_line.empty();
    if (sent_again) {
      record_.line("client: request %s: the connection ended with no answer (%s); sent again on a new one",
                   request.id.c_str(), name_of(io));
      io = exchange(request, answer);
    }
    bool is_right = answer.status() != 200 || answer.body == answer_to(request.id, usual_answer_bytes);
    bool is_lost = io != Io::done || !is_right;
    bool is_refused = answer.status() == 429 || answer.status() == 503;
    auto& count = is_lost                  ? counts_.lost
                  : answer.status() == 200 ? counts_.served
                  : is_refused             ? counts_.refused
                                           : counts_.failed;
    ++count;
    record_.line("client: request %s: status %d, answer %s, %.0f ms%s", request.id.c_str(), answer.status(),
                 name_of(io), now_ms() - sent_at_ms, is_lost ? " - LOST" : "");
  }

  // Sends the request on the kept connection, or on a new one, and reads the answer.
  Io exchange(const ClientRequest& request, Message& answer) {
    answer = {};
    if (!connection_.open()) connection_ = connect_to(balancer_, now_ms() + send_timeout_ms);
    if (!connection_.open()) return Io::timed_out;
    Io io = connection_.send_all(request.text(), now_ms() + send_timeout_ms);
    if (io == Io::done)
      io = MessageReader(connection_).read(answer, now_ms() + budget_ms + late_but_not_lost_ms);
    if (io != Io::done || answer.field("connection") == "close") connection_.close();
    return io;
  }

  Record& record_;
  std::string balancer_;
  Counts& counts_;
  Socket connection_;
};

int run(const std::string& record_path, const std::string& command, bool trouble) {
  Record record(record_path);
  Counts counts;
  std::atomic<bool> ending = false;
  std::vector<std::unique_ptr<Server>> fleet;
  std::vector<Host> hosts;
  for (int i = 0; i < servers; ++i) {
    fleet.push_back(
        std::make_unique<Server>("127.0.0.1", [&, i](Socket& socket) { serve(record, i, socket); }));
    hosts.push_back({.name = "s" + std::to_string(i), .address = fleet.back()->address(), .block = i});
  }
  Discovery discovery(hosts);
  Balancer balancer(command,
                    {.discovery = discovery.address(),
                     .known = discovery.whole_list(),
                     .settings = settings,
                     .memory_mb = memory_mb},
                    record);
  if (!balancer.wait_ready(10000)) {
    record.line("the balancer does not become ready");
    return 2;
  }
  record.line("the disruption is %s", trouble ? "on" : "off");
  std::vector<std::thread> slow;
  for (int i = 0; i < slow_clients; ++i) {
    slow.emplace_back([&] { read_long_answer(record, balancer.address(), trouble, ending, counts); });
    sleep_ms(5);
  }
  sleep_ms(500);
  std::vector<std::thread> usual;
  for (int i = 0; i < usual_clients; ++i)
    usual.emplace_back([&] { UsualClient(record, balancer.address(), counts).run(); });
  for (auto& client : usual) client.join();
  bool crashed = !balancer.running();
  ending = true;
  for (auto& client : slow) client.join();
  record.line("usual requests: served %d, refused %d, failed %d, lost %d; long answers begun: %d",
              counts.served.load(), counts.refused.load(), counts.failed.load(), counts.lost.load(),
              counts.slow_answers_begun.load());
  if (crashed || counts.lost > 0) return 1;
  return counts.served > 0 && counts.slow_answers_begun > 0 ? 0 : 2;
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
