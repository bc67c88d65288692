// Hedged requests: a second attempt, sent while the first is still in flight. Design: docs/design.md,
// "Changed, and when each exception acts" (hedged request).
#pragma once

#include "policy/concurrency_limiter.hpp"
#include "policy/endpoint.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/policy_settings.hpp"
#include "policy/request_class.hpp"
#include "policy/retry_budget.hpp"
#include "policy/retry_policy.hpp"

namespace meadowgauge {

// The components that the hedging policy uses. All must outlive the policy.
struct HedgingPolicyParts {
  const PolicySettings& settings;
  const EndpointTable& endpoints;
  const RequestClasses& classes;
  const OutlierDetector& outliers;
  const ConcurrencyLimiter& limiter;
  const RetryPolicy& retries;
  RetryBudget& budget;
};

// A hedged request is sent when all of these hold, in this order:
//
//  1. may_hedge()     hedging is enabled, at most one attempt was made, the body can be sent twice, and the
//                     class is repeatable
//  2. delay_ms()      this time has passed since the endpoint of the attempt was picked: 1.5 times the
//                     geometric mean latency of a short class, else 1.5 times the 95th percentile, at least
//                     400 ms
//  3. should_hedge()  the class is short, or the endpoint is now ejected or unresponsive; the throttle
//                     drops no requests and the retry budget is not used up
//  4. EndpointPicker  finds another endpoint that the rules permit
//
// A class is short if its mean latency is less than half the tier's mean latency. In other classes a slow
// response alone causes no hedged request: the request is usually large, and a second attempt would repeat
// its work. A slow request of a short class is usually queued behind long requests.
class HedgingPolicy {
 public:
  explicit HedgingPolicy(const HedgingPolicyParts& parts) : parts_(parts) {}

  // Condition 1.
  [[nodiscard]] bool may_hedge(const Request& request) const;
  // Condition 3. At least one attempt must have been sent.
  [[nodiscard]] bool should_hedge(const Request& request, double now_ms) const;
  // Condition 2: time in ms after the latest attempt at which should_hedge() is to be called.
  [[nodiscard]] double delay_ms(const Request& request) const;
  // Charges the retry budget for a hedged request that is about to be sent.
  void spend_budget(const Request& request);

 private:
  [[nodiscard]] bool is_short(const Request& request) const;

  HedgingPolicyParts parts_;
};

}  // namespace meadowgauge
