// Random sequences of events around the running program: clients that send, half-close and reset, upstreams
// that respond, fail and hang, endpoint lists, signals and pauses. The test creates the events over loopback
// and records the outcome of each request. At the end no request may be unanswered or executed twice, and no
// descriptor may be left open. client_disconnect_test.cpp and the other tests that docs/design/endings.md
// names force single cases.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
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

const std::string short_timeouts =
    R"(,"rules":{"stop_sending_within_ms":400.0},"limits":{"dial_timeout_ms":300.0},)"
    R"("path_prefixes":[{"name":"pay","repeat":"at_most_once","client_timeout_ms":900.0},)"
    R"({"name":"view","repeat":"idempotent","client_timeout_ms":900.0},)"
    R"({"name":"set","repeat":"deduplicated","group":"all","key_ttl_ms":5000.0,)"
    R"("client_timeout_ms":900.0}])";

// One sequence of events, derived from a seed.
class RandomEvents {
 public:
  explicit RandomEvents(std::uint32_t seed)
      : rng_(seed),
        proxy_({.upstreams = 3, .settings = short_timeouts, .leave_ms = "0", .cancelling = seed % 2 == 0}),
        descriptors_at_start_(proxy_.descriptor_count()) {}

  void run(int steps) {
    for (int i = 0; i < steps; ++i) {
      step();
      serve();
    }
    if (paused_) proxy_.resume();
    cooperative_ = true;
    expect_all_answered();
    expect_nothing_sent_to_a_draining_upstream();
    expect_clean_exit();
  }

 private:
  // The outcome of a request: the responses to its client, and how often upstreams received it.
  struct RequestRecord {
    int responses = 0;
    int status = 0;
    int received = 0;
    int rejected = 0;
    int received_again = 0;     // received after an attempt that was not rejected
    bool disconnected = false;  // the client disconnected before the response
    bool truncated = false;     // the response ended before it was complete
  };
  struct Client {
    TcpConnection connection;
    std::vector<std::string> unanswered;  // ids, in the order of sending
  };
  struct UpstreamConnection {
    TcpConnection peer;
    int upstream;
    std::string request_id;  // the request without a response; empty if there is none
  };

  // --- Expectations -------------------------------------------------------------------------------------

  [[nodiscard]] bool some_unanswered() const {
    return std::any_of(clients_.begin(), clients_.end(),
                       [](const Client& client) { return !client.unanswered.empty(); });
  }

  // Expects each client that stayed to have one response per request, and no request that may have executed
  // to be sent again.
  void expect_all_answered() {
    auto until = Clock::now() + ms(wait_limit_ms);
    while (some_unanswered() && Clock::now() < until) serve();
    EXPECT_FALSE(some_unanswered());
    for (const auto& [id, record] : requests_) {
      EXPECT_LE(record.responses, 1) << id;
      if (!record.disconnected && !record.truncated) {
        EXPECT_EQ(record.responses, 1) << id;
      }
      if (id.find(": pay") == std::string::npos) continue;
      EXPECT_EQ(record.received_again, 0) << id << " was sent again though it may have executed";
      if (record.received > record.rejected) {
        EXPECT_NE(record.status, 503) << id << " may have executed";
      }
    }
    clients_.clear();
  }

  void expect_nothing_sent_to_a_draining_upstream() {
    auto until = Clock::now() + ms(wait_limit_ms);
    health_ = {"leaving", "active", "active"};
    ++list_version_;
    // Publishes the marker on every watch from now on, because the program may be replacing the open watch.
    auto marker = "mark" + std::to_string(list_version_);
    marker_ = R"({"host":")" + marker + R"(","health":"odd"})";
    publish_list();
    auto list_was_read = [&] { return proxy_.has_logged(marker + ": unknown health"); };
    while (!list_was_read() && Clock::now() < until) serve();
    EXPECT_TRUE(list_was_read());
    auto before = received_by_upstream_[0];
    for (int i = 0; i < 4; ++i) {
      send_request("view", 900);
      while (some_unanswered() && Clock::now() < until) serve();
    }
    EXPECT_EQ(received_by_upstream_[0], before) << "sent to a draining server";
    clients_.clear();
  }

  // Expects all descriptors to be released, and the sanitizers to find nothing at the exit.
  void expect_clean_exit() {
    upstream_connections_.clear();
    for (int i = 0; i < 2; ++i) EXPECT_EQ(proxy_.get_status("/-/ready"), 200);
    EXPECT_LE(proxy_.descriptor_count(), descriptors_at_start_ + 3);
    proxy_.terminate();
    EXPECT_EQ(proxy_.exit_status(), 0);
  }

  // --- Events -------------------------------------------------------------------------------------------

  int random_below(int n) { return static_cast<int>(rng_() % static_cast<unsigned>(n)); }
  std::size_t random_index(std::size_t size) {
    return static_cast<std::size_t>(random_below(static_cast<int>(size)));
  }

  // Triggers one random event.
  void step() {
    int event = random_below(24);
    if (event < 9) return send_random_request();
    if (event < 13 && !clients_.empty()) return disconnect_random_client();
    if (event < 16) return change_health();
    if (event == 16 && watch_is_open()) watches_.back().reset();
    if (event == 17 && watch_is_open()) watches_.back().close();
    if (event == 18) proxy_.reload();
    if (event == 19) {
      paused_ ? proxy_.resume() : proxy_.pause();
      paused_ = !paused_;
    }
    if (event == 20 && !upstream_connections_.empty()) {
      upstream_connections_[random_index(upstream_connections_.size())].peer.reset();
      drop_ended_connections();
    }
    if (event > 20) std::this_thread::sleep_for(ms(random_below(40)));  // lets some timeouts expire
  }

  void send_random_request() {
    constexpr const char* classes[] = {"pay", "view", "set"};
    bool partial = random_below(12) == 0;
    int budget_ms = 150 + random_below(700);
    send_request(classes[random_below(3)], budget_ms, partial);
  }

  // Sends a request of the class `name` from a new client. If `partial`, the last bytes are not sent.
  void send_request(const std::string& name, int budget_ms, bool partial = false) {
    auto id = "X-Call-Id: " + name + std::to_string(++last_id_);
    auto text = (name == "view" ? "GET /view" : "POST /" + name) + " HTTP/1.1\r\nHost: b\r\n" + id +
                "\r\nX-Budget-Ms: " + std::to_string(budget_ms) +
                (name == "set" ? "\r\nIdempotency-Key: k" : "");
    text = name == "view" ? text + "\r\n\r\n" : http_message(text, "the body");
    auto& client = clients_.emplace_back(Client{.connection = proxy_.connect(), .unanswered = {}});
    client.connection.send(partial ? text.substr(0, text.size() - 5) : text);
    if (partial) return;
    client.unanswered.push_back(id);
    requests_[id];
  }

  void disconnect_random_client() {
    int how = random_below(3);
    auto index = random_index(clients_.size());
    auto& client = clients_[index];
    for (const auto& id : client.unanswered) requests_[id].disconnected = true;
    if (how == 0) client.connection.close();
    if (how == 1) client.connection.reset();
    if (how == 2) {
      client.connection.end_sending();
      half_closed_.push_back(std::move(client.connection));
    }
    clients_.erase(clients_.begin() + static_cast<std::ptrdiff_t>(index));
  }

  void change_health() {
    const char* health = random_below(3) == 0 ? "leaving" : "active";
    health_[random_index(health_.size())] = health;
    ++list_version_;
    publish_list();
  }

  // --- The stand-ins ------------------------------------------------------------------------------------

  // Accepts connections, reads all pending bytes and responds, for all stand-ins.
  void serve() {
    std::this_thread::sleep_for(ms(1));
    accept_upstream_connections();
    for (auto& connection : upstream_connections_) serve_upstream(connection);
    drop_ended_connections();
    for (auto& client : clients_) receive_responses(client);
    serve_discovery();
  }

  void accept_upstream_connections() {
    for (std::size_t n = 0; n < proxy_.upstreams.size(); ++n)
      while (proxy_.upstreams[n].has_pending_connection())
        upstream_connections_.push_back(
            {.peer = proxy_.upstreams[n].accept(), .upstream = static_cast<int>(n), .request_id = {}});
  }

  void serve_upstream(UpstreamConnection& connection) {
    auto& peer = connection.peer;
    while (peer.is_open() && !peer.quiet() && peer.receive_some()) {
    }
    while (auto message = peer.take_message()) {
      connection.request_id = id_field_of(*message);
      auto& record = requests_[connection.request_id];
      if (record.received++ > record.rejected) ++record.received_again;
      ++received_by_upstream_[connection.upstream];
      if (cooperative_ || random_below(3) > 0) respond(connection);
      if (!peer.is_open()) break;
    }
    if (!peer.is_open() || connection.request_id.empty()) return;
    if (cooperative_ || random_below(8) == 0) respond(connection);
  }

  void respond(UpstreamConnection& connection) {
    auto id = std::exchange(connection.request_id, {});
    auto& peer = connection.peer;
    switch (cooperative_ ? 0 : random_below(12)) {
      case 1:
        ++requests_[id].rejected;
        return peer.send(rejected_response);
      case 2:
        return peer.send(error_response);
      case 3:
        return peer.reset();
      case 4:
        peer.send(ok_response.substr(0, ok_response.size() - 3));
        return peer.close();
      case 5:  // starts a response that does not end
        return peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
      case 6:  // does not respond
        return;
      default:
        return peer.send(ok_response);
    }
  }

  void receive_responses(Client& client) {
    auto& connection = client.connection;
    bool ended = false;
    while (!ended && connection.is_open() && !connection.quiet()) ended = !connection.receive_some();
    while (auto message = connection.take_message()) {
      if (client.unanswered.empty()) break;
      auto& record = requests_[client.unanswered.front()];
      ++record.responses;
      record.status = status_of(*message);
      client.unanswered.erase(client.unanswered.begin());
    }
    // A response that has begun may be truncated, as long as the client can detect it.
    if (!ended) return;
    for (const auto& id : std::exchange(client.unanswered, {})) requests_[id].truncated = true;
  }

  void serve_discovery() {
    if (proxy_.discovery.has_pending_connection()) watches_.push_back(proxy_.discovery.accept());
    if (watches_.empty()) return;
    auto& watch = watches_.back();
    while (watch.is_open() && !watch.quiet() && watch.receive_some()) {
    }
    while (auto message = watch.take_message()) {
      is_watch_ = message->find("watch=1") != std::string::npos;
      if (is_watch_) watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      publish_list();
    }
  }

  [[nodiscard]] bool watch_is_open() const {
    return is_watch_ && !watches_.empty() && watches_.back().is_open() && watches_.back().alive();
  }

  // Publishes the complete list, as a line of the watch or as the response to a request for the list.
  void publish_list() {
    if (watches_.empty() || !watches_.back().is_open()) return;
    std::vector<std::string> entries;
    for (std::size_t n = 0; n < proxy_.upstreams.size(); ++n)
      entries.push_back(endpoint_entry(static_cast<int>(n), proxy_.upstreams[n].address(), health_[n]));
    if (!marker_.empty()) entries.push_back(marker_);
    auto list = endpoint_list(list_version_, true, entries);
    watches_.back().send(is_watch_ ? watch_chunk(list) : http_message("HTTP/1.1 200 OK", list + "\n"));
  }

  void drop_ended_connections() {
    std::erase_if(upstream_connections_, [](const UpstreamConnection& connection) {
      return !connection.peer.is_open() || !connection.peer.alive();
    });
  }

  std::mt19937 rng_;
  ProxyProcess proxy_;
  long descriptors_at_start_;
  std::vector<Client> clients_;
  std::vector<TcpConnection> half_closed_;
  std::vector<TcpConnection> watches_;  // the last one is in use
  std::vector<UpstreamConnection> upstream_connections_;
  std::map<std::string, RequestRecord> requests_;
  std::map<int, int> received_by_upstream_;
  std::string marker_;  // an entry whose log line shows that the list was read
  std::vector<std::string> health_ = {"active", "active", "active"};
  int last_id_ = 0;
  int list_version_ = 1;
  bool paused_ = false;
  bool cooperative_ = false;  // upstreams respond at once and with success
  bool is_watch_ = false;     // the last connection to discovery is a watch
};

// Guards against lost, repeated or hanging requests and leaked descriptors in rare orders of events.
TEST(RandomEvents, LeaveNoRequestUnanswered) {
  for (std::uint32_t seed = 1; seed <= 24; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    RandomEvents(seed).run(70);
    if (HasFailure()) break;
  }
}

}  // namespace
}  // namespace meadowgauge::test
