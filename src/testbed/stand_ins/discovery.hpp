// Stand-in for service discovery: one agent for each balancer, which serves complete endpoint lists and
// watches. Updates may reach each agent with a delay; a fault makes all agents silent.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "testbed/stand_ins/http_server.hpp"

namespace meadowgauge::testbed {

// A server's entry in the endpoint list. Each balancer reaches the server at an address of its own.
struct DiscoveryEndpoint {
  enum class Health : std::uint8_t { active, leaving, left };
  std::string host, zone, kind;
  int block = -1;
  Health health = Health::active;
  double share = 1, started_ms = 0;
  std::vector<std::string> addresses{};  // by balancer
};

// The listener's number is the balancer's index.
class Discovery final : HttpServer::Handler, TestbedContext::Component {
 public:
  // Called for each endpoint list entry that is sent to a balancer.
  using NotificationSink = std::function<void(int balancer, int server, DiscoveryEndpoint::Health health)>;

  // Opens one listener for each balancer. Throws std::system_error if it cannot listen.
  Discovery(TestbedContext& context, const std::vector<transport::Address>& listen_at,
            const std::vector<DiscoveryEndpoint>& endpoints, NotificationSink on_notified);

  // Updates a server's entry, for balancer `b` after `delay_ms[b]`. A single element holds for all balancers;
  // an empty `delay_ms` means no delay. `started_ms` 0 leaves the start time as it is.
  void update(int server, DiscoveryEndpoint::Health health, double started_ms,
              const std::vector<double>& delay_ms);
  // While silent, discovery neither responds nor notifies. Pending updates are sent when the silence ends.
  void set_silent(bool on);
  // Returns the current complete endpoint list of that balancer's agent as JSON.
  [[nodiscard]] std::string complete_list(int balancer) const;

 private:
  struct Watch {
    ConnectionId connection;
    std::uint64_t sent_version;
  };
  // The view of one balancer.
  struct Agent {
    std::vector<DiscoveryEndpoint> endpoints;
    std::vector<std::uint64_t> changed_at;  // by server: the version of its last change
    std::uint64_t version = 1;
    std::vector<Watch> watches;
  };
  struct PendingUpdate {
    double at_ms;
    int balancer, server;
    DiscoveryEndpoint::Health health;
    double started_ms;
  };

  void on_request(ConnectionId connection, int listener, const protocol::Message& request,
                  bool first) override;
  void on_disconnect(ConnectionId connection) override;
  void on_timer(std::uint64_t number) override;
  void start_watch(ConnectionId connection, int balancer, std::uint64_t after);
  bool apply_due_updates();
  void apply(const PendingUpdate& update);
  void notify_watches(int balancer);
  void notify_all_watches();
  // Calls the sink for all entries that changed after version `after`.
  void report_notified(int balancer, std::uint64_t after);
  void send_heartbeats();
  [[nodiscard]] std::string list_json(int balancer, std::uint64_t after, bool complete) const;
  // Sets the timer to the next heartbeat or pending update.
  void arm();
  Agent& agent(int balancer) { return agents_[static_cast<std::size_t>(balancer)]; }

  HttpServer http_;
  std::vector<Agent> agents_;  // by balancer
  std::vector<PendingUpdate> pending_;
  NotificationSink on_notified_;
  bool silent_ = false;
  double next_heartbeat_ms_ = 0, timer_ = transport::DueTimes::none;
};

}  // namespace meadowgauge::testbed
