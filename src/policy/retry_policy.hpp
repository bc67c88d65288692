// Rules on attempts and retries, and the time limits of attempts. Design: docs/design.md, "Open questions, as
// answered"; docs/design/endings.md.
#pragma once

#include "policy/admission_throttle.hpp"
#include "policy/endpoint.hpp"
#include "policy/load_estimator.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/policy_settings.hpp"
#include "policy/request_class.hpp"
#include "policy/retry_budget.hpp"

namespace meadowgauge {

// The components that RetryPolicy reads. All of them must outlive it.
struct RetryPolicyParts {
  const PolicySettings& settings;
  const EndpointTable& endpoints;
  const RequestClasses& classes;
  const AdmissionThrottle& throttle;
  const OutlierDetector& outliers;
  const LoadEstimator& load;
  const RetryBudget& budget;
};

// Decides whether an attempt is allowed, by the number of attempts, the deadline, the endpoint's drain state
// and the rule that a request must not take effect twice.
//
// An attempt may have run if it is in flight or ended in any way but rejected, unreachable or superseded.
// After such an attempt another one is allowed only if
//
//   the request is idempotent, or
//   the request has an idempotency key, and the new attempt goes to the same group of servers while they
//   still remember the key.
class RetryPolicy {
 public:
  explicit RetryPolicy(const RetryPolicyParts& parts) : parts_(parts) {}

  // Returns why an attempt at this endpoint is not allowed now, or `none`. Every attempt passes this check.
  [[nodiscard]] RejectionReason rejection_reason(const Request& request, const Endpoint& endpoint,
                                                 double now_ms) const;
  // Returns whether an attempt that still waits for a connection may be sent: its endpoint may have moved to
  // another group of servers since the pick.
  [[nodiscard]] bool may_still_be_sent(const Request& request, const Attempt& attempt) const;
  // Returns whether the client may safely repeat the request at `at_ms`, so that it may be rejected.
  [[nodiscard]] bool client_may_repeat(const Request& request, double at_ms) const;
  // Returns whether a retry may follow an attempt with this outcome: not after a cancellation, with the
  // budget spent, or while the throttle drops requests.
  [[nodiscard]] bool may_retry(Outcome outcome, double now_ms) const;

  // Returns the time limit of the newest attempt, from now on.
  [[nodiscard]] double attempt_limit_ms(const Request& request, double now_ms) const;
  // Returns the time in ms from now within which the attempt's last byte must be written; `never` if only the
  // attempt's limit applies. Each other attempt that may have run starts a key window when it is picked. The
  // check at the pick is not enough: a window can end while the attempt waits for a connection.
  [[nodiscard]] double send_by_ms(const Request& request, int attempt, double now_ms) const;
  // Returns why the newest attempt is allowed, for the log.
  [[nodiscard]] RepeatJudgement repeat_judgement(const Request& request, double now_ms) const;

 private:
  [[nodiscard]] bool may_run_again_at(const Request& request, const Attempt& earlier,
                                      const Endpoint& endpoint, double now_ms) const;
  [[nodiscard]] bool should_give_up_early(const Request& request, double early_limit_ms) const;

  RetryPolicyParts parts_;
};

}  // namespace meadowgauge
