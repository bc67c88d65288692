// Hedged requests: a second attempt beside the one in flight. Design: docs/design.md, "Changed, and
// when each exception acts" (hedged request).
#pragma once

#include "policy/concurrency_limiter.hpp"
#include "policy/endpoint.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/policy_settings.hpp"
#include "policy/request_class.hpp"
#include "policy/retry_budget.hpp"
#include "policy/retry_policy.hpp"

namespace meadowgauge {

// What the policy asks. All of it must outlive the policy.
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
//  1. may_hedge()     hedging is enabled, one attempt was made so far, the body can be sent twice, and the
//                     class may be repeated
//  2. delay_ms()      so much time has passed since that attempt's pick: 1.5 times the geometric mean latency
//                     of a short class, else 1.5 times the 95th percentile, 400 ms at least
//  3. should_hedge()  its class is short, or the endpoint is ejected or unresponsive by now; the throttle
//                     drops nothing and the retry budget is not spent
//  4. EndpointPicker  finds another endpoint that the rules permit
//
// A slow response alone is no reason: it is usually a large request, whose work a second attempt would
// repeat. A short request that waits does so behind long ones.
class HedgingPolicy {
 public:
  explicit HedgingPolicy(const HedgingPolicyParts& parts) : parts_(parts) {}

  [[nodiscard]] bool may_hedge(const Request& request) const;
  [[nodiscard]] bool should_hedge(const Request& request, double now_ms) const;
  // Time after which should_hedge() is to be asked, from the newest attempt on.
  [[nodiscard]] double delay_ms(const Request& request) const;
  // Charges the retry budget for a hedged request that is about to be sent.
  void spend_budget(const Request& request);

 private:
  [[nodiscard]] bool is_short(const Request& request) const;

  HedgingPolicyParts parts_;
};

}  // namespace meadowgauge
