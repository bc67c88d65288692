// Which server stands behind an endpoint's index: applies endpoint lists and operators' drains to the
// upstream connections and to the policy. Times are in ms by the proxy's clock.
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

class EndpointDirectory {
 public:
  // All of these outlive it.
  EndpointDirectory(const ProxySettings& settings, Upstreams& upstreams, Policy& policy, Logger log)
      : settings_(settings), upstreams_(upstreams), policy_(policy), log_(std::move(log)) {}

  // The configuration's list, which holds until discovery's first.
  void use_cached(const protocol::EndpointList& cached, double now_ms);
  // A list from discovery. Lists may come out of order: entries older than what is known change nothing.
  void receive(protocol::EndpointList update, double now_ms);
  // The watch on discovery broke; the endpoints known so far stay in use.
  void watch_failed(double now_ms);
  // Another discovery from here on, whose versions are its own.
  void begin_anew() { registry_.begin_anew(); }
  // The configuration's own list instead of discovery's.
  void replace(const protocol::EndpointList& configured, double now_ms);
  // The servers that operators have drained, all of them; it holds from now on whatever is listed.
  void set_manual_drains(const std::set<std::string>& names, double now_ms);
  // Forgets the drains of names that are no longer listed. To be called now and then.
  void forget_departed();

  [[nodiscard]] bool is_listed(const std::string& name) const;
  // A server's number, the same at every balancer.
  [[nodiscard]] std::uint32_t server_id(EndpointIndex endpoint) const {
    return server_ids_[position_of(endpoint)];
  }
  // Of the listed servers that get requests.
  [[nodiscard]] std::vector<std::uint32_t> listed_server_ids() const;

 private:
  void apply(EndpointListUpdate kind, const protocol::EndpointList& list, double now_ms);
  void apply(const protocol::EndpointListEntry& listed, std::vector<bool>& seen);
  // It has left, or a newer server has its address; an older server at its address departs.
  bool has_departed(const protocol::EndpointListEntry& listed, EndpointIndex endpoint);
  void depart(EndpointIndex endpoint);
  void set_server_id(EndpointIndex endpoint, const std::string& name);

  const ProxySettings& settings_;
  Upstreams& upstreams_;
  Policy& policy_;
  Logger log_;
  EndpointRegistry registry_;
  ManualDrains manual_drains_;
  std::vector<EndpointEntry> entries_;     // of the list being applied
  std::vector<std::uint32_t> server_ids_;  // by endpoint index
};

}  // namespace meadowgauge::proxy
