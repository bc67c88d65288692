// The locality router: own zone first where crossing zones has a price, and how much spills over.
#pragma once

#include <vector>

#include "policy/endpoint.hpp"
#include "policy/policy_settings.hpp"
#include "policy/random.hpp"

namespace meadowgauge {

class LocalityRouter {
 public:
  // What a successor can go on with. Near: the own zone; far: the others.
  struct Learned {
    double spillover = 0;  // share of the picks that look beyond the own zone
    double near_utilization = 0, far_utilization = 0;
    double near_ms = 0, far_ms = 0;
  };

  // All arguments have to outlive it.
  LocalityRouter(const PolicySettings& settings, const EndpointTable& endpoints, Random& random);

  [[nodiscard]] bool has_cross_zone_cost() const { return settings_.cross_zone_cost > 0; }
  [[nodiscard]] bool is_remote(const Endpoint& endpoint) const { return endpoint.zone != settings_.zone; }
  // Leaves the own zone's endpoints alone among the candidates, unless it is this pick's turn to spill over
  // or the own zone is filled.
  void restrict_to_local(std::vector<EndpointIndex>& candidates);

  void record_utilization(const Endpoint& endpoint, double utilization, double now_ms);
  void record_duration(const Endpoint& endpoint, double took_ms);
  void tick();

  [[nodiscard]] const Learned& learned() const { return learned_; }
  void restore(const Learned& learned) { learned_ = learned; }

 private:
  [[nodiscard]] bool own_zone_filled(const std::vector<EndpointIndex>& candidates, double on_top) const;
  [[nodiscard]] double stay_probability() const;

  const PolicySettings& settings_;
  const EndpointTable& endpoints_;
  Random& random_;
  double filled_at_;    // requests of ours in flight to an endpoint of the own zone
  double peers_share_;  // of the zone's balancers, those that are not this one
  double least_spillover_;
  double near_reported_at_ms_ = -never, far_reported_at_ms_ = -never;
  Learned learned_;
};

}  // namespace meadowgauge
