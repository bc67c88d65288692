// Zone-aware routing: the own zone first where crossing zones has a price, and how much spills over. Design:
// docs/design.md, "Changed, and when each exception acts" (own zone first).
#pragma once

#include <vector>

#include "policy/endpoint.hpp"
#include "policy/policy_settings.hpp"
#include "policy/random.hpp"

namespace meadowgauge {

// Keeps requests in the own zone, except for two kinds of spillover:
//
//  spillover share   A share of the picks, at least 3% over all balancers of the zone, looks at all zones. It
//                    rises while the own zone is busier than it may be, and falls slowly otherwise:
//                    step = max(0.15 * excess utilization, -0.005) a tick.
//  saturated zone    A pick looks at all zones when every candidate of the own zone already holds as many of
//                    this balancer's requests as its part of the uncongested number; where that part is under
//                    one request, by chance only after a second one (local_preference()).
//
// "Remote" is an endpoint in another zone.
class LocalityRouter {
 public:
  // What a successor process can go on with.
  struct Learned {
    double spillover = 0;         // share of the picks that look beyond the own zone
    double near_utilization = 0;  // reported by the own zone's endpoints, 0 to 1; 0: not known
    double far_utilization = 0;   // by the others'
    double near_ms = 0;           // mean latency in the own zone; 0: not known
    double far_ms = 0;            // in the others
  };

  // All arguments must outlive the router.
  LocalityRouter(const PolicySettings& settings, const EndpointTable& endpoints, Random& random);

  [[nodiscard]] bool has_cross_zone_cost() const { return settings_.cross_zone_cost > 0; }
  [[nodiscard]] bool is_remote(const Endpoint& endpoint) const { return endpoint.zone != settings_.zone; }
  // Removes remote endpoints from the candidates, unless this pick spills over.
  void restrict_to_local(std::vector<EndpointIndex>& candidates);

  // A response has reported its endpoint's utilization, 0 to 1.
  void record_utilization(const Endpoint& endpoint, double utilization, double now_ms);
  // An attempt has succeeded after `took_ms`.
  void record_duration(const Endpoint& endpoint, double took_ms);
  // Adjusts the spillover share. To be called every tick.
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
  double saturated_requests_;  // own requests in flight at which a local endpoint counts as saturated
  double peers_share_;         // of the zone's balancers, those that are not this one, 0 to 1
  double min_spillover_share_;
  double near_reported_at_ms_ = -never;
  double far_reported_at_ms_ = -never;
  Learned learned_;
};

}  // namespace meadowgauge
