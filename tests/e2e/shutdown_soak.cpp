// Random shutdowns under load, each drawn from its seed: clients go on using their open connections until the
// kill, signals come in series, upstreams fail and hang, lists are pushed or polled. The verdict is taken
// from what clients and upstreams saw.
//
//   meadowgauge_soak [FIRST_SEED [SEEDS [STEPS]]]
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fixtures/discovery_stand_in.hpp"
#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_process.hpp"
#include "fixtures/waiting.hpp"

namespace meadowgauge::test {
namespace {

constexpr int max_client_timeout_ms = 900;
constexpr int connections_in_use = 6;
// The earliest SIGKILL after SIGTERM: the longest client timeout and 0.7 s.
constexpr auto kill_delay = std::chrono::milliseconds(max_client_timeout_ms + 700);
// For the test's own delays on a busy machine.
constexpr auto tolerance = std::chrono::milliseconds(400);
constexpr auto drain_grace = std::chrono::milliseconds(400 + 50);
// A request sent so shortly before the end of its connection may have crossed it.
constexpr auto crossing_time = std::chrono::milliseconds(250);

const std::string soak_settings =
    R"(,"rules":{"stop_sending_within_ms":400.0},"limits":{"dial_timeout_ms":300.0},)"
    R"("path_prefixes":[{"name":"pay","repeat":"at_most_once","client_timeout_ms":900.0},)"
    R"({"name":"view","repeat":"idempotent","client_timeout_ms":900.0},)"
    R"({"name":"set","repeat":"deduplicated","group":"zone","key_ttl_ms":5000.0,)"
    R"("client_timeout_ms":900.0}])";

ProxyOptions options_of(std::uint32_t seed) {
  std::string settings = soak_settings;
  if (seed % 3 == 0) settings += R"(,"discovery":"subscribe")";
  return {.upstreams = 3, .settings = settings, .sockets = 128, .leave_ms = "", .cancelling = seed % 2 == 0};
}

class ShutdownSoak {
 public:
  explicit ShutdownSoak(std::uint32_t seed)
      : random_(seed), has_idle_crowd_(seed % 4 == 1), proxy_(options_of(seed)) {}

  void run(int steps) {
    await_endpoint_list();
    if (has_idle_crowd_) connect_crowd();
    for (int i = 0; i < steps; ++i) {
      if (i % 8 == 7) random_event();
      turn();
    }
    shut_down();
    expect_requests_answered();
  }

 private:
  struct RequestRecord {
    Clock::time_point sent_at;
    int status = 0;    // 0: no response
    bool cut = false;  // the response ended before it was whole
    // The connection ended without a response, and the client knows that the request was not read: the
    // response before it announced the end, or the request may have crossed it.
    bool unread = false;
    int received = 0;       // by upstreams
    int rejected = 0;       // by upstreams, which did not run it
    bool repeated = false;  // received again though an earlier attempt may have run
  };
  struct Client {
    TcpConnection connection;
    std::vector<std::string> unanswered;  // ids, in the order of sending
    bool end_announced = false;           // by the latest response
  };
  struct UpstreamConnection {
    TcpConnection peer;
    std::size_t upstream;
    std::string request_id;  // not responded to yet; empty: none
    Clock::time_point respond_at;
  };

  int random_below(int n) { return static_cast<int>(random_() % static_cast<unsigned>(n)); }

  // --- Clients ------------------------------------------------------------------------------------------

  // Requests are pipelined now and then; a connection stays in use as long as it is open.
  void send_requests() {
    while (accepts_connections_ && clients_.size() < connections_in_use) {
      auto connection = proxy_.connect();
      if (!connection.is_open()) break;
      clients_.push_back({.connection = std::move(connection), .unanswered = {}, .end_announced = false});
    }
    for (auto& client : clients_) {
      if (!client.connection.is_open() || client.unanswered.size() >= 2) continue;
      if (client.unanswered.empty() ? random_below(3) == 0 : random_below(40) == 0) send_request(client);
    }
  }

  void send_request(Client& client) {
    constexpr const char* classes[] = {"pay", "view", "set"};
    std::string name = classes[random_below(3)];
    auto id = "X-Call-Id: " + name + std::to_string(++last_id_);
    auto head = (name == "view" ? "GET /view" : "POST /" + name) + " HTTP/1.1\r\nHost: b\r\n" + id +
                "\r\nX-Budget-Ms: " + std::to_string(200 + random_below(max_client_timeout_ms - 200));
    if (name == "set") head += "\r\nIdempotency-Key: key" + std::to_string(last_id_);
    requests_[id].sent_at = Clock::now();
    client.unanswered.push_back(id);
    client.connection.send(name == "view" ? head + "\r\n\r\n" : http_message(head, "the body"));
  }

  void receive_responses(Client& client) {
    auto& connection = client.connection;
    bool ended = false;
    while (!ended && connection.is_open() && !connection.quiet()) ended = !connection.receive_some();
    while (auto message = connection.take_message()) {
      if (client.unanswered.empty()) break;
      requests_[client.unanswered.front()].status = status_of(*message);
      client.end_announced = message->find("Connection: close") != std::string::npos;
      client.unanswered.erase(client.unanswered.begin());
    }
    if (!ended) return;
    bool begun = !connection.receive_until_end().empty();
    for (const auto& id : std::exchange(client.unanswered, {})) {
      auto& record = requests_[id];
      record.cut = std::exchange(begun, false);
      bool may_have_crossed = Clock::now() - record.sent_at < crossing_time + tolerance;
      record.unread = !record.cut && (client.end_announced || may_have_crossed);
    }
    connection.close();
  }

  // Idle clients up to the limit on descriptors.
  void connect_crowd() {
    for (int i = 0; i < 120; ++i) crowd_.push_back(proxy_.connect());
  }

  // --- Upstreams ----------------------------------------------------------------------------------------

  void serve_upstreams() {
    for (std::size_t n = 0; n < proxy_.upstreams.size(); ++n)
      while (proxy_.upstreams[n].has_pending_connection())
        upstream_connections_.push_back(
            {.peer = proxy_.upstreams[n].accept(), .upstream = n, .request_id = {}, .respond_at = {}});
    for (auto& connection : upstream_connections_) serve(connection);
    std::erase_if(upstream_connections_, [](const UpstreamConnection& connection) {
      return !connection.peer.is_open() || !connection.peer.alive();
    });
  }

  void serve(UpstreamConnection& connection) {
    auto& peer = connection.peer;
    while (peer.is_open() && !peer.quiet() && peer.receive_some()) {
    }
    while (auto message = peer.take_message()) request_received(connection, *message);
    if (connection.request_id.empty() || Clock::now() < connection.respond_at) return;
    respond(connection);
  }

  void request_received(UpstreamConnection& connection, const std::string& message) {
    connection.request_id = id_field_of(message);
    bool hangs = random_below(25) == 0;
    connection.respond_at = Clock::now() + ms(hangs ? 60000 : random_below(30));
    auto& record = requests_[connection.request_id];
    record.repeated |= record.received++ > record.rejected;
    auto drained_at = drained_at_.find(connection.upstream);
    if (drained_at == drained_at_.end()) return;
    EXPECT_LT(Clock::now() - drained_at->second, drain_grace + tolerance)
        << connection.request_id << " was sent to a draining upstream";
  }

  void respond(UpstreamConnection& connection) {
    auto id = std::exchange(connection.request_id, {});
    switch (random_below(14)) {
      case 0:
        ++requests_[id].rejected;
        return connection.peer.send(rejected_response);
      case 1:
        return connection.peer.send(error_response);
      case 2:
        return connection.peer.reset();
      case 3:
        return connection.peer.send(ok_and_close);
      default:
        return connection.peer.send(ok_response);
    }
  }

  // --- Discovery ----------------------------------------------------------------------------------------

  void serve_discovery() {
    while (proxy_.discovery.has_pending_connection()) watches_.push_back(proxy_.discovery.accept());
    for (auto& watch : watches_) {
      while (watch.is_open() && !watch.quiet() && watch.receive_some()) {
      }
      while (auto message = watch.take_message()) answer_call(watch, *message);
    }
  }

  void answer_call(TcpConnection& watch, const std::string& request) {
    is_watch_ = request.find("watch=1") != std::string::npos;
    if (!is_watch_) return watch.send(http_message("HTTP/1.1 200 OK", current_list()));
    watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    publish(watch, current_list());
  }

  [[nodiscard]] std::string current_list() const {
    std::vector<std::string> entries;
    for (std::size_t n = 0; n < proxy_.upstreams.size(); ++n)
      entries.push_back(endpoint_entry(static_cast<int>(n), proxy_.upstreams[n].address(),
                                       drained_at_.contains(n) ? "leaving" : "active"));
    return endpoint_list(list_version_, true, entries);
  }

  void await_endpoint_list() {
    auto until = Clock::now() + ms(wait_limit_ms);
    while (!is_watch_ && Clock::now() < until) serve_discovery();
    while (proxy_.get_status("/-/ready") != 200 && Clock::now() < until) {
    }
  }

  void drain_random_upstream() {
    if (!is_watch_ || watches_.empty() || !watches_.back().alive() || !drained_at_.empty()) return;
    auto upstream = static_cast<std::size_t>(random_below(static_cast<int>(proxy_.upstreams.size())));
    drained_at_[upstream] = Clock::now();
    ++list_version_;
    publish(watches_.back(), current_list());
  }

  // --- Events and signals -------------------------------------------------------------------------------

  void turn() {
    std::this_thread::sleep_for(ms(1));
    send_requests();
    serve_upstreams();
    for (auto& client : clients_) receive_responses(client);
    std::erase_if(clients_, [](const Client& client) { return !client.connection.is_open(); });
    serve_discovery();
  }

  void random_event() {
    switch (random_below(8)) {
      case 0:
        return proxy_.reload();
      case 1:
        return pause_and_resume();
      case 2:
        return drain_random_upstream();
      case 3:
        if (!watches_.empty()) watches_.back().reset();
        return;
      default:
        return;
    }
  }

  void pause_and_resume() {
    proxy_.pause();
    std::this_thread::sleep_for(ms(random_below(150)));
    proxy_.resume();
  }

  // One of the series of signals that end a process; the first SIGTERM begins the shutdown.
  void send_signals() {
    int series = random_below(6);
    if (series == 0) proxy_.reload();
    if (series <= 1) proxy_.reload();
    proxy_.terminate();
    if (series == 2) proxy_.terminate();
    if (series == 3) proxy_.reload();
    if (series == 4) pause_and_resume();
  }

  void shut_down() {
    auto terminated_at = Clock::now();
    send_signals();
    while (!proxy_.has_exited() && Clock::now() - terminated_at < kill_delay + tolerance) turn();
    bool in_time = proxy_.has_exited();
    EXPECT_TRUE(in_time) << "still runs at the earliest kill";
    if (!in_time) kill(proxy_.pid(), SIGKILL);
    EXPECT_EQ(proxy_.exit_status(), 0);
    accepts_connections_ = false;
    EXPECT_FALSE(proxy_.connect().is_open()) << "a new connection is not refused";
    for (auto& client : clients_) receive_responses(client);
  }

  // --- The verdict --------------------------------------------------------------------------------------

  void expect_requests_answered() {
    for (const auto& [id, record] : requests_) {
      bool answered = record.status != 0 || record.cut;
      bool known_not_run = record.unread && record.received == record.rejected;
      EXPECT_TRUE(answered || known_not_run)
          << id << " has no answer; received by upstreams: " << record.received;
      if (id.find(": pay") == std::string::npos) continue;
      if (record.received > record.rejected) {
        EXPECT_NE(record.status, 503) << id << " may have run and was answered as rejected";
      }
      EXPECT_FALSE(record.repeated) << id << " was sent again though it may have run";
    }
  }

  std::mt19937 random_;
  bool has_idle_crowd_;
  ProxyProcess proxy_;
  std::vector<Client> clients_;
  std::vector<TcpConnection> crowd_;
  std::vector<TcpConnection> watches_;
  std::vector<UpstreamConnection> upstream_connections_;
  std::map<std::string, RequestRecord> requests_;
  std::map<std::size_t, Clock::time_point> drained_at_;  // by upstream
  int last_id_ = 0;
  int list_version_ = 2;
  bool is_watch_ = false;
  bool accepts_connections_ = true;
};

int argument(int index, int fallback) {
  const auto& all = testing::internal::GetArgvs();
  auto position = static_cast<std::size_t>(index);
  return position < all.size() ? std::atoi(all[position].c_str()) : fallback;
}

// Guards against lost and repeated requests of clients that go on after SIGTERM.
TEST(ShutdownSoak, NoRequestIsLostWhileClientsUseTheirConnections) {
  int first_seed = argument(1, 1);
  int seeds = argument(2, 12);
  int steps = argument(3, 300);
  for (int seed = first_seed; seed < first_seed + seeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed) + ", steps " + std::to_string(steps));
    ShutdownSoak(static_cast<std::uint32_t>(seed)).run(steps);
  }
}

}  // namespace
}  // namespace meadowgauge::test
