// Applies endpoint lists and operators' drains to the upstream connections and to the policy, and maps
// endpoint indices to server ids. Times are in ms by the proxy's clock.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "policy/policy.hpp"
#include "protocol/endpoint_list.hpp"
#include "proxy/endpoint/manual_drains.hpp"
#include "proxy/endpoint/registry.hpp"
#include "proxy/logger.hpp"
#include "proxy/proxy_settings.hpp"
#include "proxy/upstream/upstreams.hpp"

namespace meadowgauge::proxy {

// The endpoints as known from the configuration, discovery and operators.
class EndpointDirectory {
 public:
  // All references outlive the directory.
  EndpointDirectory(const ProxySettings& settings, Upstreams& upstreams, Policy& policy, Logger log)
      : settings_(settings), upstreams_(upstreams), policy_(policy), log_(std::move(log)) {}

  // Applies the configured list, which is in use until discovery sends its first list.
  void use_cached(const protocol::EndpointList& cached, double now_ms);
  // Applies a list from discovery. Lists may arrive out of order: entries older than the recorded state are
  // ignored.
  void receive(protocol::EndpointList update, double now_ms);
  // Reports a failed watch on discovery; the known endpoints stay in use.
  void watch_failed(double now_ms);
  // Later lists come from another discovery, whose versions are independent of the previous ones.
  void discovery_changed() { registry_.restart_versions(); }
  // Replaces discovery's list with the configured one.
  void replace(const protocol::EndpointList& configured, double now_ms);
  // Sets the complete set of servers drained by operators. It also covers servers listed later.
  void set_manual_drains(const std::set<std::string>& names, double now_ms);
  // Forgets the aliases of drained servers that are no longer listed. Called periodically.
  void evict_unlisted_drains();

  [[nodiscard]] bool is_listed(const std::string& name) const;
  // The server's id, a hash of its name that is equal at every balancer. `endpoint` has been listed.
  [[nodiscard]] std::uint32_t server_id(EndpointIndex endpoint) const {
    return server_ids_[position_of(endpoint)];
  }
  // The ids of all listed servers.
  [[nodiscard]] std::vector<std::uint32_t> listed_server_ids() const;

 private:
  void apply(EndpointListUpdate kind, const protocol::EndpointList& list, double now_ms);
  void apply(const protocol::EndpointListEntry& listed, std::vector<bool>& seen);
  // Whether the server has left, or a newer server is listed at its address. Removes an older server that is
  // listed at its address.
  bool has_departed(const protocol::EndpointListEntry& listed, EndpointIndex endpoint);
  void log_late_list(std::int64_t version, std::int64_t newest_version,
                     const protocol::EndpointList& changes) const;
  void remove_endpoint(EndpointIndex endpoint);
  void set_server_id(EndpointIndex endpoint, const std::string& name);

  const ProxySettings& settings_;
  Upstreams& upstreams_;
  Policy& policy_;
  Logger log_;
  EndpointRegistry registry_;
  ManualDrains manual_drains_;
  std::vector<EndpointEntry> entries_;     // of the list being applied, for the policy
  std::vector<std::uint32_t> server_ids_;  // by endpoint index
};

}  // namespace meadowgauge::proxy
