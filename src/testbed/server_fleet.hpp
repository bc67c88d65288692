// The stand-ins around the balancers: all servers, discovery and relays. Applies the run's faults to them.
// Runs on its own thread; the records must be read only after that thread has ended.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "testbed/address_plan.hpp"
#include "testbed/balancer_events.hpp"
#include "testbed/experiment.hpp"
#include "testbed/model/front_balancer.hpp"
#include "testbed/schedule.hpp"
#include "testbed/stand_ins/datagram_relay.hpp"
#include "testbed/stand_ins/discovery.hpp"
#include "testbed/stand_ins/http_client.hpp"
#include "testbed/stand_ins/relay.hpp"
#include "testbed/stand_ins/server.hpp"

namespace meadowgauge::testbed {

class ServerFleet final : public Server::Environment, public HttpClient::Handler, TestbedContext::Component {
 public:
  // Opens all listeners except those of the relays; throws std::system_error if that fails. `context` and
  // `experiment` outlive the fleet.
  ServerFleet(TestbedContext& context, const Experiment& experiment, std::uint64_t seed,
              const AddressPlan& addresses);
  ~ServerFleet() override;
  ServerFleet(const ServerFleet&) = delete;
  ServerFleet& operator=(const ServerFleet&) = delete;

  // Starts the relays and the schedule of faults; fault times count from `at_ms`.
  void begin(double at_ms);
  void on_timer(std::uint64_t number) override;

  // Availability events of the balancers behind the first tier; another thread may publish them.
  [[nodiscard]] BalancerEventQueue& balancer_events() { return balancer_events_; }
  // Returns a balancer's current endpoint list as JSON. Must not be called while the fleet's thread runs.
  [[nodiscard]] std::string endpoint_list(int tier, int balancer) const;
  [[nodiscard]] History& history() { return history_; }
  // Returns the faults that all relays injected.
  [[nodiscard]] std::vector<InjectedFault> injected_faults() const;
  // Returns the number of datagrams between balancers and their total size in bytes.
  [[nodiscard]] std::pair<std::uint64_t, std::uint64_t> datagrams() const;

 private:
  struct Tier {
    std::vector<std::unique_ptr<Server>> servers;
    std::unique_ptr<Discovery> discovery;
    std::unique_ptr<HttpClient> client;  // sends the servers' calls to the next tier
    std::vector<std::unique_ptr<InjectionPlan>> plans;
    std::vector<std::unique_ptr<Relay>> relays;
    std::map<std::string, std::shared_ptr<DeduplicationCache>> deduplication_caches;
  };
  // A server's call to the next tier.
  struct Call {
    Server* from = nullptr;
    JobId job = 0;
  };
  // Implementation of Server::Environment.
  const RequestClassSpec* request_class(std::string_view name) override;
  std::shared_ptr<DeduplicationCache> deduplication_cache(const RequestClassSpec& request_class, int tier,
                                                          int server) override;
  bool call(Server& from, JobId job, const RequestClassSpec& request_class, std::string_view parent_id,
            int number, double deadline_ms) override;
  void on_server_crashed(int tier, int server) override;
  // Implementation of HttpClient::Handler.
  void on_result(std::uint64_t token, const HttpClient::Result& result) override;
  void on_extra_bytes(std::uint64_t token) override;
  int pick_target(int group) override;

  // Creates the servers, the discovery and the client of a tier; create_relays() follows when the run starts.
  void create_tier(int tier);
  // Creates and starts a server; returns its entry for discovery's list.
  DiscoveryEndpoint create_server(int tier, int server);
  [[nodiscard]] const ServerKindSpec* draw_kind(int tier, int server) const;
  void create_discovery(int tier, const std::vector<DiscoveryEndpoint>& endpoints);
  void create_client(int tier);
  void create_relays(int tier, double begin_ms);
  // Returns the experiment's fault injections whose target is this server, or any server.
  [[nodiscard]] std::vector<FaultInjection> injections_for(int tier, int server) const;
  // Applies one action of the fault schedule.
  void apply_action(const Action& action);
  // Applies an action that changes a server's behaviour; does nothing if the server is stopped.
  void apply_to_model(const Action& action);
  // Opens the server's listeners, one for each balancer.
  void start_server(int tier, int server, bool slow_start);
  // Sends a server's new health to all balancers of its tier, each after its own random notification delay.
  void announce(int tier, int server, DiscoveryEndpoint::Health health);
  [[nodiscard]] const TierSpec& spec(int tier) const {
    return experiment_.tiers[static_cast<std::size_t>(tier)];
  }
  Tier& tier_state(int tier) { return tiers_[static_cast<std::size_t>(tier)]; }
  Server& server(int tier, int server) { return *tier_state(tier).servers[static_cast<std::size_t>(server)]; }

  const Experiment& experiment_;
  std::uint64_t seed_;
  AddressPlan addresses_;
  History history_;
  std::vector<Tier> tiers_;
  std::vector<Action> actions_;
  std::size_t next_action_ = 0;
  double begin_ms_ = 0, timer_ = transport::DueTimes::none;
  Rng rng_;
  std::unordered_map<std::uint64_t, Call> calls_;  // calls in flight, by attempt index
  std::unique_ptr<DatagramRelay> datagram_relay_;  // null without a fleet
  std::vector<FrontBalancer> front_balancers_;     // one in front of each tier
  BalancerEventQueue balancer_events_;
};

}  // namespace meadowgauge::testbed
