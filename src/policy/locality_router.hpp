// Zone-aware routing: prefers the own zone if crossing zones has a cost, and decides how many requests spill
// over. Design: docs/design.md, "Changed, and when each exception acts" (own zone first).
#pragma once

#include <vector>

#include "policy/endpoint.hpp"
#include "policy/policy_settings.hpp"
#include "policy/random.hpp"

namespace meadowgauge {

// Keeps requests in the own zone, except for two kinds of spillover:
//
//  spillover share   A share of the picks considers all zones: at least 3%, divided by the number of the
//                    zone's balancers (up to ten). The share rises while the own zone is busier than allowed,
//                    and falls slowly otherwise: step = max(0.15 * excess utilization, -0.005) per tick.
//  saturated zone    A pick considers all zones when every candidate of the own zone already holds as many of
//                    this balancer's requests as the balancer's share of the uncongested number in flight. If
//                    that share is less than one request, a pick may stay local, with a probability, until
//                    every local candidate holds one request more (local_preference()).
//
// A "remote" endpoint is one in another zone.
class LocalityRouter {
 public:
  // Learned values that are handed to a successor process.
  struct Learned {
    double spillover = 0;           // share of the picks that consider all zones
    double local_utilization = 0;   // reported by local endpoints, 0 to 1; 0: not known
    double remote_utilization = 0;  // reported by remote endpoints, likewise
    double local_latency_ms = 0;    // mean latency of local endpoints; 0: not known
    double remote_latency_ms = 0;   // mean latency of remote endpoints; 0: not known
  };

  // All arguments must outlive the router.
  LocalityRouter(const PolicySettings& settings, const EndpointTable& endpoints, Random& random);

  [[nodiscard]] bool has_cross_zone_cost() const { return settings_.cross_zone_cost > 0; }
  [[nodiscard]] bool is_remote(const Endpoint& endpoint) const { return endpoint.zone != settings_.zone; }
  // Removes the remote endpoints from the candidates unless this pick spills over.
  void restrict_to_local(std::vector<EndpointIndex>& candidates);

  // Records the utilization, 0 to 1, that a response has reported for its endpoint.
  void record_utilization(const Endpoint& endpoint, double utilization, double now_ms);
  // Records the latency of a successful attempt.
  void record_duration(const Endpoint& endpoint, double took_ms);
  // Adjusts the spillover share. Call it every tick.
  void tick();

  [[nodiscard]] const Learned& learned() const { return learned_; }
  void restore(const Learned& learned) { learned_ = learned; }

 private:
  [[nodiscard]] bool is_local_saturated(const std::vector<EndpointIndex>& candidates,
                                        double extra_requests) const;
  [[nodiscard]] bool should_stay_local(const std::vector<EndpointIndex>& candidates);
  [[nodiscard]] double local_preference() const;
  [[nodiscard]] double excess_utilization() const;

  const PolicySettings& settings_;
  const EndpointTable& endpoints_;
  Random& random_;
  double saturated_requests_;  // requests of this balancer in flight that saturate a local endpoint
  double peers_share_;         // share of the other balancers among those of the zone, 0 to 1
  double min_spillover_share_;
  double local_reported_at_ms_ = -never;
  double remote_reported_at_ms_ = -never;
  Learned learned_;
};

}  // namespace meadowgauge
