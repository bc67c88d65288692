// The endpoint picker: one endpoint for one attempt. Idle ones first, else the lesser of two drawn by weight.
#pragma once

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

// What the picker asks, and tells of what it decides. All of it has to outlive the picker.
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

class EndpointPicker {
 public:
  explicit EndpointPicker(const PickerParts& parts);

  // no_endpoint: there is none for this attempt, for the reason that refusal() gives until the next pick.
  EndpointIndex pick(const Request& request, double now_ms);
  [[nodiscard]] RejectionReason rejection_reason() const { return rejection_reason_; }

 private:
  struct Tier {
    int ready = 0, unhealthy = 0;  // of the ready ones
    double mean_in_flight = 0;     // of those with an outcome
  };
  Tier gather(const Request& request, double now_ms);
  void gather_all(const Request& request, int ready, double now_ms);
  bool permitted(const Request& request, EndpointIndex index, double now_ms);
  [[nodiscard]] bool must_avoid_trials(const Request& request) const;
  [[nodiscard]] EndpointIndex restored_candidate(const Request& request, double now_ms) const;
  bool refuses(bool full);
  EndpointIndex least_probed(double now_ms);
  EndpointIndex idle_or_lesser(double mean_in_flight, double now_ms);
  [[nodiscard]] double weight(const Endpoint& endpoint) const;
  EndpointIndex draw(double all_weights);

  PickerParts parts_;
  bool some_repeatable_;  // among the request classes
  std::vector<EndpointIndex> candidates_;
  RejectionReason rejection_reason_ = RejectionReason::none;
};

}  // namespace meadowgauge
