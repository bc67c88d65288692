// Chooses the endpoint of an attempt. Design: docs/design.md, "Kept" and "Changed, and when each exception
// acts".
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "policy/concurrency_limiter.hpp"
#include "policy/endpoint.hpp"
#include "policy/key_affinity.hpp"
#include "policy/load_estimator.hpp"
#include "policy/locality_router.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/policy_settings.hpp"
#include "policy/random.hpp"
#include "policy/request_class.hpp"
#include "policy/retry_policy.hpp"
#include "policy/slow_start.hpp"

namespace meadowgauge {

// The other components of the policy that the picker uses. All must outlive the picker.
struct PickerParts {
  const PolicySettings& settings;
  EndpointTable& endpoints;
  const RequestClasses& classes;
  const OutlierDetector& outliers;
  const LoadEstimator& load;
  SlowStart& slow_start;
  ConcurrencyLimiter& limiter;
  LocalityRouter& locality;
  KeyAffinity& affinity;
  const RetryPolicy& retries;
  Random& random;
};

// Picks in this order:
//
//  1. The concurrency limit may reject a first attempt at the first tier.
//  2. Candidates are the endpoints that are healthy for this request (is_healthy_for) and that no rule
//     excludes (exclusion_reason). Panic threshold: when most ready endpoints look unhealthy, health is
//     ignored.
//  3. An endpoint whose manual drain has just ended goes first; then an endpoint that the fleet has ejected,
//     if it is this balancer's turn to try the endpoint.
//  4. If key affinity applies to the request, KeyAffinity picks. Else, where probes are used, the candidate
//     with the lowest load by a fresh probe is picked, if there is one. The concurrency limit may reject the
//     picked endpoint.
//  5. Otherwise a random endpoint without requests of this balancer in flight is picked, from the local zone
//     first. If there is none, two endpoints are drawn by weight, and the less loaded is picked (power of two
//     choices).
class EndpointPicker {
 public:
  explicit EndpointPicker(const PickerParts& parts);

  // Returns the endpoint for the next attempt, or `no_endpoint` if no endpoint may receive the attempt;
  // rejection_reason() then returns the reason.
  EndpointIndex pick(const Request& request, double now_ms);
  // The reason of the last `no_endpoint`: the concurrency limit, or the rule that excluded the last endpoint
  // checked.
  [[nodiscard]] RejectionReason rejection_reason() const { return rejection_reason_; }

  // See Policy::request_trials().
  void request_trials(std::span<const std::uint32_t> endpoint_ids);
  // Records that an attempt is sent to the endpoint, which completes a requested trial.
  static void record_trial(Endpoint& endpoint) {
    if (endpoint.fleet_trial == FleetTrial::requested) endpoint.fleet_trial = FleetTrial::sent;
  }

 private:
  // Counts over the endpoints that are listed as ready and not drained by an operator.
  struct TierCounts {
    int ready = 0;
    int unhealthy = 0;
    double mean_in_flight = 0;  // of this balancer, per endpoint that has had an outcome
  };
  TierCounts gather_healthy(const Request& request, double now_ms);
  void gather_regardless_of_health(const Request& request, int ready, double now_ms);
  [[nodiscard]] bool is_healthy_for(const Request& request, const Endpoint& endpoint, double now_ms) const;
  [[nodiscard]] bool must_avoid_trials(const Request& request) const;
  [[nodiscard]] RejectionReason exclusion_reason(const Request& request, const Endpoint& endpoint,
                                                 double now_ms) const;
  bool is_permitted(const Request& request, EndpointIndex index, double now_ms);
  EndpointIndex pick_by_affinity(const Request& request, double now_ms);
  EndpointIndex admit_unless_full(bool is_full, bool is_limited, EndpointIndex index);
  [[nodiscard]] EndpointIndex undrained_candidate(const Request& request, double now_ms) const;
  [[nodiscard]] EndpointIndex fleet_trial_candidate(const Request& request) const;
  bool reject_if_full(bool is_full);
  EndpointIndex pick_lowest_probed_load(double now_ms);
  [[nodiscard]] double probed_load(const Endpoint& endpoint, double now_ms) const;
  EndpointIndex pick_idle_or_less_loaded(double mean_in_flight, double now_ms);
  EndpointIndex draw_idle(double mean_in_flight);
  EndpointIndex pick_less_loaded_of_two(double mean_in_flight);
  [[nodiscard]] double weight(const Endpoint& endpoint) const;
  EndpointIndex draw(double sum_of_weights);

  PickerParts parts_;
  bool any_class_is_repeatable_;
  std::vector<EndpointIndex> candidates_;
  RejectionReason rejection_reason_ = RejectionReason::none;
};

}  // namespace meadowgauge
