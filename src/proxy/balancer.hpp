// One balancer on sockets: its turns, its parts, and what the program may ask of it. Each turn gathers
// events, hands them to the policy, and carries out the actions that it decides on. It decides nothing
// itself.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/config.hpp"
#include "policy/policy.hpp"
#include "protocol/endpoint_list.hpp"
#include "proxy/discovery/client.hpp"
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

namespace meadowgauge::proxy {

// A configuration, whichever file format it was read from. It is read by the program.
struct Setup {
  std::string name;
  transport::Address listen;
  std::optional<transport::Address> discovery;  // absent: the list is `known` until a reload
  std::optional<transport::Address> mgmt;       // of the admin server, where there is one
  bool shared = false;                          // another process of this balancer may listen beside it
  bool later = false;                           // bound at the start, listens from listen() on
  std::uint64_t seed = 1;
  std::size_t descriptors = 1024;
  std::size_t memory_mb = 192;
  // How long it serves on after SIGTERM, in ms; absent: the longest client timeout, up to a bound.
  std::optional<double> leave_ms;
  Settings settings;
  protocol::EndpointList known;
  std::optional<fleet::FleetConfig> fleet;  // the operator's own file alone has one
};

class Balancer final {
 public:
  // Listens from here on. Throws std::system_error where it can't. `loop` outlives it.
  Balancer(transport::Loop& loop, const Setup& setup, Logger log);
  [[nodiscard]] transport::Address address() const { return downstream_.address(); }
  // Serves until begin_shutdown() has come to its end.
  void run();
  // Begins the graceful shutdown: serves on for a while, then responds to what is in flight and stops.
  void begin_shutdown();
  // A new configuration: the watch moves to its discovery, or its own list is applied. All else in it takes
  // effect at the next start.
  void reload(const Setup& setup);
  // A new configuration could not be read.
  void reload_failed() { ++reloads_failed_; }
  // For the program's own periodic work; called with every tick of the policy.
  void on_tick(std::function<void()> work) { on_tick_ = std::move(work); }

  // Asked for each request before the policy is; outlives this. Without one nothing is asked.
  void set_request_filter(RequestFilter* filter);

  [[nodiscard]] bool ready() const { return shutdown_.serving() && downstream_.listening(); }
  // An endpoint list of discovery has been received since the start, or there is no discovery.
  [[nodiscard]] bool endpoint_list_received() const { return endpoint_list_received_; }
  // Listens from now on.
  void listen() { downstream_.listen(); }
  // New connections come here rather than to `others` that listen beside it and began earlier.
  void take_new_connections(int others);
  // From now on it uses that part, 0 to 1, of its limits of memory and descriptors.
  void limit_to_share(double part);
  // A successor takes the new connections; each connection here ends with its next response.
  void yield_to_successor();
  // What it has learned; and takes over what another process of this balancer had learned.
  [[nodiscard]] LearnedState learned_state() const;
  void restore_learned_state(const LearnedState& learned_state);

  // Servers by the numbers they have at every balancer: those of the list that get requests, and those that
  // the policy has ejected itself.
  [[nodiscard]] std::vector<std::uint32_t> listed_servers() const { return endpoints_.listed_server_ids(); }
  [[nodiscard]] std::vector<std::uint32_t> ejected_servers() const;
  // Gossip of other balancers.
  void gossip_received(const GossipContent& gossip) { policy_.gossip_received(gossip, now_ms_); }

  [[nodiscard]] Metrics metrics() const;
  // Whether discovery lists a server of that name.
  [[nodiscard]] bool is_listed(const std::string& name) const { return endpoints_.is_listed(name); }
  // The servers that operators have out, all of them; it holds from now on whatever is listed.
  void set_manual_drains(const std::set<std::string>& names) { endpoints_.set_manual_drains(names, now_ms_); }

 private:
  [[nodiscard]] double wait_ms();
  void gather_events();
  void apply_watch_events();
  void apply_due_times();
  void tick();
  void advance_shutdown();

  transport::Loop& loop_;
  transport::Clock clock_;
  double now_ms_;  // the turn's one reading, in ms
  Logger log_;
  ProxySettings proxy_settings_;
  std::size_t descriptors_, buffers_;  // all that it may have, alone
  transport::Pool pool_;
  RequestCounters counters_;
  transport::DueTimes due_;
  Policy policy_;
  Upstreams upstreams_;
  DownstreamConnections downstream_;
  DiscoveryClient discovery_;
  EndpointDirectory endpoints_;
  GracefulShutdown shutdown_;
  RequestForwarder requests_;

  Settings settings_;
  bool endpoint_list_received_;
  double tick_at_ms_, sweep_at_ms_;
  std::uint64_t reloads_ = 0, reloads_failed_ = 0;
  std::function<void()> on_tick_;
  RequestFilter* request_filter_ = nullptr;
};

}  // namespace meadowgauge::proxy
