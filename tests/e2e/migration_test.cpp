// Balancers of two deployments with the same upstreams, as during a migration (docs/migration.md). Each is
// the program in its own process. The test acts as their clients, the upstreams and discovery.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <set>
#include <string>
#include <vector>

#include "fixtures/discovery_stand_in.hpp"
#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_process.hpp"

namespace meadowgauge::test {
namespace {

// Totals of both upstreams.
struct UpstreamTotals {
  std::set<std::string> request_ids;
  int executed_twice = 0;
  std::size_t max_queue_length = 0;
};

// An upstream that executes one request at a time, in order of arrival.
class SerialUpstream {
 public:
  SerialUpstream(const ListeningSocket& listener, UpstreamTotals& totals)
      : listener_(listener), totals_(totals) {}

  // Reads pending bytes and responds to a request whose service time is over. Never blocks.
  void serve() {
    while (listener_.has_pending_connection()) connections_.push_back({listener_.accept()});
    for (std::size_t i = 0; i < connections_.size(); ++i)
      if (!connections_[i].busy && !connections_[i].peer.quiet()) receive(i);
    respond();
  }
  [[nodiscard]] int received() const { return received_; }
  void slow_down(int factor) { service_time_ *= factor; }

 private:
  struct Connection {
    TcpConnection peer;
    bool busy = false;  // its request is queued, or the connection has ended
  };

  void receive(std::size_t i) {
    auto& connection = connections_[i];
    auto message = connection.peer.receive_message();
    if (message.starts_with("GET /-/load")) {
      auto report = "inflight=" + std::to_string(queue_.size()) + ",queue=0";
      connection.peer.send(http_message("HTTP/1.1 200 OK", report));
      return;
    }
    connection.busy = true;
    if (message.empty()) return;
    queue_.push_back(i);
    ++received_;
    if (!totals_.request_ids.insert(id_field_of(message)).second) ++totals_.executed_twice;
    totals_.max_queue_length = std::max(totals_.max_queue_length, queue_.size());
  }

  void respond() {
    if (queue_.empty()) done_at_ = {};
    if (queue_.empty() || Clock::now() < done_at_) return;
    if (done_at_ == Clock::time_point{}) {  // starts to execute the first request of the queue
      done_at_ = Clock::now() + service_time_;
      return;
    }
    done_at_ = queue_.size() > 1 ? Clock::now() + service_time_ : Clock::time_point{};
    auto& connection = connections_[queue_.front()];
    queue_.erase(queue_.begin());
    connection.busy = false;
    connection.peer.send(ok_response);
  }

  const ListeningSocket& listener_;
  UpstreamTotals& totals_;
  std::vector<Connection> connections_;
  std::vector<std::size_t> queue_;  // connections, by index, whose requests wait or are executed
  Clock::time_point done_at_;       // end of the request in execution; zero if there is none
  std::chrono::milliseconds service_time_{12};
  int received_ = 0;
};

// Successful requests by deployment.
struct Succeeded {
  int previous = 0;
  int current = 0;
  [[nodiscard]] int total() const { return previous + current; }
};

// A balancer of the previous deployment, a pool, which reads load reports from responses, and a balancer of
// the current deployment, one of 400 beside their clients, which probes. Both use the upstreams of the first.
class TwoDeployments {
 public:
  explicit TwoDeployments(const std::string& current_settings)
      : current_({.upstreams = 0, .settings = current_settings},
                 endpoint_list(1, true,
                               {endpoint_entry(0, previous_.upstreams[0].address()),
                                endpoint_entry(1, previous_.upstreams[1].address())})) {
    for (const auto* proxy : {&previous_, &current_}) watches_.push_back(accept_watch(proxy->discovery));
  }

  // Publishes a change of the second upstream to both balancers.
  void publish_second(int version, const std::string& health, double started_ms = 0) const {
    auto entry = endpoint_entry(1, previous_.upstreams[1].address(), health, started_ms);
    for (const auto& watch : watches_) publish(watch, endpoint_list(version, false, {entry}));
  }

  // Runs until `requests` requests have succeeded. Four clients of each balancer send one request after
  // another.
  Succeeded run(int requests) {
    auto previous_clients = connect_clients(previous_);
    auto current_clients = connect_clients(current_);
    Succeeded succeeded;
    auto until = Clock::now() + std::chrono::milliseconds(wait_limit_ms);
    while (succeeded.total() < requests && Clock::now() < until) {
      first_.serve();
      second_.serve();
      succeeded.previous += receive_responses(previous_clients);
      succeeded.current += receive_responses(current_clients);
    }
    EXPECT_GE(succeeded.total(), requests);
    return succeeded;
  }

  [[nodiscard]] const UpstreamTotals& totals() const { return totals_; }
  SerialUpstream& second() { return second_; }

 private:
  static std::vector<TcpConnection> connect_clients(const ProxyProcess& proxy) {
    std::vector<TcpConnection> clients;
    for (int i = 0; i < 4; ++i) clients.emplace_back(proxy.connect()).send(http_request("/pay"));
    return clients;
  }
  // Reads the pending responses and sends the next request of each client. Returns the number of successes.
  static int receive_responses(std::vector<TcpConnection>& clients) {
    int succeeded = 0;
    for (auto& client : clients) {
      if (client.quiet()) continue;
      if (status_of(client.receive_message()) == 200) ++succeeded;
      client.send(http_request("/pay"));
    }
    return succeeded;
  }

  UpstreamTotals totals_;
  ProxyProcess previous_;
  ProxyProcess current_;
  std::vector<TcpConnection> watches_;
  SerialUpstream first_{previous_.upstreams[0], totals_};
  SerialUpstream second_{previous_.upstreams[1], totals_};
};

const std::string one_of_many = R"(,"replicas_of_me":400,"my_number":7,"limits":{"probes":true})";

// Guards against deployments that take capacity from each other: each serves at least a quarter of all
// requests, no non-idempotent request executes twice, no queue is longer than the number of clients, and the
// limits of a drain and of a slow start hold for the sum of both.
TEST(Migration, InstancesOfBothDeploymentsShareTheUpstreams) {
  TwoDeployments deployments(one_of_many +
                             R"(,"report":{"columns":["concurrent","depth"],"how":"on_probe"})");
  auto succeeded = deployments.run(200);
  EXPECT_GE(4 * succeeded.previous, succeeded.total()) << succeeded.current;
  EXPECT_GE(4 * succeeded.current, succeeded.total()) << succeeded.previous;
  EXPECT_EQ(deployments.totals().executed_twice, 0);
  EXPECT_LE(deployments.totals().max_queue_length, 8U);
  // Once both have read that the second upstream drains, neither sends to it.
  deployments.publish_second(2, "leaving");
  deployments.run(30);
  int before = deployments.second().received();
  deployments.run(60);
  EXPECT_EQ(deployments.second().received(), before);
  // The second upstream restarts with a fifth of its capacity. Within any 1.5 s it may get twice as many
  // requests as it can serve then.
  deployments.second().slow_down(5);
  auto restarted = Clock::now();
  deployments.publish_second(3, "active", static_cast<double>(std::time(nullptr)) * 1000);
  before = deployments.second().received();
  deployments.run(100);
  auto elapsed_ms = std::chrono::duration<double, std::milli>(Clock::now() - restarted).count();
  EXPECT_LE(deployments.second().received() - before, 2 * std::max(elapsed_ms, 1500.0) / 60);
  EXPECT_GT(deployments.second().received(), before);
  // Without probes the current deployment is limited to 1/400 of the capacity.
  TwoDeployments without_probes(one_of_many + R"(,"report":{"columns":[],"how":"off"})");
  auto unequal = without_probes.run(200);
  EXPECT_LT(4 * unequal.current, unequal.total());
}

}  // namespace
}  // namespace meadowgauge::test
