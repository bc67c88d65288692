// The retry policy: whether a request may be sent once more, where to, when, and at whose cost.
#pragma once

#include "policy/admission_throttle.hpp"
#include "policy/concurrency_limiter.hpp"
#include "policy/endpoint.hpp"
#include "policy/load_estimator.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/policy_settings.hpp"
#include "policy/request_class.hpp"

namespace meadowgauge {

class RetryPolicy {
 public:
  // All arguments have to outlive it.
  RetryPolicy(const PolicySettings& settings, const EndpointTable& endpoints, const RequestClasses& classes,
              const AdmissionThrottle& throttle, const OutlierDetector& outliers, const LoadEstimator& load,
              const ConcurrencyLimiter& limiter)
      : settings_(settings),
        endpoints_(endpoints),
        classes_(classes),
        throttle_(throttle),
        outliers_(outliers),
        load_(load),
        limiter_(limiter),
        budget_(largest_budget(settings)),
        largest_budget_(budget_) {}

  // Why the rules forbid an attempt there now; none: they don't. Every attempt passes this.
  [[nodiscard]] RejectionReason rejection_reason(const Request& request, const Endpoint& endpoint,
                                                 double now_ms) const;
  // Whether an attempt that has not been sent yet may be, wherever its endpoint stands by now.
  [[nodiscard]] bool may_still_be_sent(const Request& request, const Attempt& attempt) const;
  // Whether the client may send it again at `at`: no attempt may have run whose repetition does harm then.
  [[nodiscard]] bool client_may_repeat(const Request& request, double at_ms) const;

  // The retry budget: grows with each request that arrives.
  void record_arrival();
  [[nodiscard]] bool budget_spent() const { return budget_ < 1; }
  void spend_retry() { budget_ -= 1; }
  // Whether there may be another attempt after one that ended so.
  [[nodiscard]] bool may_retry(Outcome outcome, double now_ms) const;

  // Hedged requests: whether a second copy may go beside the first, and whether it is to go now.
  [[nodiscard]] bool may_hedge(const Request& request) const;
  [[nodiscard]] bool should_hedge(const Request& request, double now_ms) const;
  void spend_hedge_budget(const Request& request);

  [[nodiscard]] AttemptTimeout timeout(const Request& request, double now_ms) const;

 private:
  // How long the newest attempt may take until its last byte is out; never: as long as it may take at all.
  [[nodiscard]] double send_by_ms(const Request& request, double now_ms) const;
  [[nodiscard]] static double largest_budget(const PolicySettings& settings);
  [[nodiscard]] bool is_short(const Request& request) const;

  const PolicySettings& settings_;
  const EndpointTable& endpoints_;
  const RequestClasses& classes_;
  const AdmissionThrottle& throttle_;
  const OutlierDetector& outliers_;
  const LoadEstimator& load_;
  const ConcurrencyLimiter& limiter_;
  double budget_, largest_budget_;  // attempts
};

}  // namespace meadowgauge
