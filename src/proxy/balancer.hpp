// One balancer with its sockets. Each turn of its loop collects events, passes them to the policy and
// executes the policy's decisions.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "fleet/config.hpp"
#include "policy/policy.hpp"
#include "protocol/endpoint_list.hpp"
#include "proxy/discovery/client.hpp"
#include "proxy/discovery/initial_list.hpp"
#include "proxy/downstream/connections.hpp"
#include "proxy/endpoint/directory.hpp"
#include "proxy/graceful_shutdown.hpp"
#include "proxy/logger.hpp"
#include "proxy/metrics.hpp"
#include "proxy/proxy_settings.hpp"
#include "proxy/request/filter.hpp"
#include "proxy/request/forwarder.hpp"
#include "proxy/upstream/upstreams.hpp"
#include "transport/clock.hpp"
#include "transport/due_times.hpp"
#include "transport/turn_times.hpp"

namespace meadowgauge::proxy {

// The configuration, independent of the file format. Read by the program.
struct Setup {
  std::string name;
  transport::Address listen;
  std::optional<transport::Address> discovery;  // absent: `known` is the endpoint list until a reload
  std::optional<transport::Address> mgmt;       // address of the admin server, if any
  bool may_share_address = false;               // another process may listen on the same address
  bool defer_listening = false;                 // binds in the constructor, listens in listen()
  std::uint64_t seed = 1;
  std::size_t descriptors = 1024;  // limit of open file descriptors
  std::size_t memory_mb = 192;     // memory limit
  // Duration of the drain after SIGTERM, in ms; absent: the maximum client timeout, up to a bound.
  std::optional<double> leave_ms;
  Settings settings;
  protocol::EndpointList known;             // the configured endpoint list
  std::optional<fleet::FleetConfig> fleet;  // only if the configuration is in the operator's own file format
};

// Owns the parts of the proxy and runs their event loop.
class Balancer final {
 public:
  // Binds, and listens unless `setup.defer_listening`. Throws std::system_error on failure. `loop` outlives
  // the balancer.
  Balancer(transport::Loop& loop, const Setup& setup, Logger log);
  [[nodiscard]] transport::Address address() const { return downstream_.address(); }
  // Serves until the graceful shutdown has finished.
  void run();
  // Begins the graceful shutdown: drains, answers the requests in flight, then run() returns.
  void begin_shutdown();
  // Moves the watch to the new configuration's discovery, or applies its endpoint list. Other changes need a
  // restart.
  void reload(const Setup& setup);
  // Counts a new configuration that could not be read.
  void reload_failed() { ++reloads_failed_; }
  // Sets the program's periodic work, which is called at every tick of the policy.
  void on_tick(std::function<void()> work) { on_tick_ = std::move(work); }

  // Shares the ids of requests whose effect may still come with the other processes of this balancer, see
  // RequestIds::share().
  void share_request_ids(std::span<RequestIds::Slot> slots) { requests_.share_request_ids(slots); }

  // Sets a filter that each request passes before the policy; it outlives the balancer. Null: no filter.
  void set_request_filter(RequestFilter* filter);

  // Whether the process listens, may serve and is not shutting down.
  [[nodiscard]] bool ready() const { return shutdown_.serving() && listening() && may_serve(); }
  // False while a new process waits for its first endpoint list and rejects all requests.
  [[nodiscard]] bool may_serve() const { return initial_list_.may_serve(); }
  [[nodiscard]] bool listening() const { return downstream_.listening(); }
  // True once discovery has sent an endpoint list, or without discovery.
  [[nodiscard]] bool endpoint_list_received() const { return endpoint_list_received_; }
  void listen() { downstream_.listen(); }
  // Claims the new connections from `others` older processes that listen on the same address.
  void take_new_connections(int others);
  // Limits the use of buffers and descriptors to this share of the configured limits, 0 to 1, while several
  // processes run side by side.
  void limit_to_share(double share);
  // Leaves new connections to a successor. Each open connection closes after its next response.
  void yield_to_successor();
  // The learned state, keyed by server names so that a successor process can restore it.
  [[nodiscard]] LearnedState learned_state() const;
  void restore_learned_state(const LearnedState& learned_state);

  // The server ids (equal at every balancer) of the listed servers, and of those that this policy has
  // ejected.
  [[nodiscard]] std::vector<std::uint32_t> listed_servers() const { return endpoints_.listed_server_ids(); }
  [[nodiscard]] std::vector<std::uint32_t> ejected_servers() const;
  void gossip_received(const GossipContent& gossip) { policy_.gossip_received(gossip, now_ms_); }
  // Sets the servers ejected by the fleet to which this balancer sends trial requests now; replaces the
  // previous set.
  void request_trials(const std::vector<std::uint32_t>& server_ids) { policy_.request_trials(server_ids); }

  [[nodiscard]] Metrics metrics() const;
  [[nodiscard]] bool is_listed(const std::string& name) const { return endpoints_.is_listed(name); }
  // Sets the complete set of servers drained by operators. It also covers servers listed later.
  void set_manual_drains(const std::set<std::string>& names) { endpoints_.set_manual_drains(names, now_ms_); }

 private:
  [[nodiscard]] double next_due_ms();
  void log_slow_turn() const;
  void gather_events();
  void apply_watch_events();
  void log_initial_list(std::optional<InitialList::State> former) const;
  void apply_due_times();
  void replace_endpoint_list(const protocol::EndpointList& list);
  void tick();
  void advance_shutdown();
  void log_shutdown_begun(bool has_served) const;

  transport::Loop& loop_;
  transport::Clock clock_;
  double now_ms_;  // the clock's reading in this turn
  transport::TurnMeter turns_;
  Logger log_;
  ProxySettings proxy_settings_;
  std::size_t buffers_;      // limit while no other process runs beside this one
  std::size_t descriptors_;  // limit while no other process runs beside this one
  transport::Pool pool_;
  RequestCounters counters_;
  transport::DueTimes due_;
  Policy policy_;
  Upstreams upstreams_;
  DownstreamConnections downstream_;
  DiscoveryClient discovery_;
  EndpointDirectory endpoints_;
  GracefulShutdown shutdown_;
  InitialList initial_list_;
  RequestForwarder requests_;

  Settings settings_;
  bool endpoint_list_received_;
  double tick_at_ms_;
  double sweep_at_ms_;
  std::uint64_t reloads_ = 0;
  std::uint64_t reloads_failed_ = 0;
  std::function<void()> on_tick_;
  RequestFilter* request_filter_ = nullptr;
};

}  // namespace meadowgauge::proxy
