// Policy::Core combines the components of the decision module and fixes the order in which they are called.
#pragma once

#include <span>
#include <vector>

#include "policy/admission_throttle.hpp"
#include "policy/concurrency_limiter.hpp"
#include "policy/endpoint.hpp"
#include "policy/endpoint_picker.hpp"
#include "policy/endpoint_updater.hpp"
#include "policy/hedging_policy.hpp"
#include "policy/key_affinity.hpp"
#include "policy/learned_state.hpp"
#include "policy/list_subscription.hpp"
#include "policy/load_estimator.hpp"
#include "policy/locality_router.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/policy.hpp"
#include "policy/policy_event.hpp"
#include "policy/policy_settings.hpp"
#include "policy/random.hpp"
#include "policy/request_class.hpp"
#include "policy/retry_budget.hpp"
#include "policy/retry_policy.hpp"
#include "policy/slow_start.hpp"
#include "policy/tenant_quotas.hpp"

namespace meadowgauge {

// Implements Policy; see there for the public functions. A request passes through:
//
//  decide          quota, throttle, probes, pick; or a hedged request; or a rejection
//  attempt_ended   learn from the outcome; then retry (another pick) or finish
//  finish          give the final answer if no attempt succeeded
//
// The components hold references to each other, so a Core cannot be copied or moved.
class Policy::Core {
 public:
  Core(const Settings& raw_settings, std::uint64_t seed, double now_ms);
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;
  Core(Core&&) = delete;
  Core& operator=(Core&&) = delete;
  ~Core() = default;

  Decision decide(Request& request, double now_ms);
  Decision attempt_ended(Request& request, const AttemptResult& result, double now_ms);
  [[nodiscard]] AttemptTimeout attempt_timeout(const Request& request, double now_ms) const;
  [[nodiscard]] bool may_still_be_sent(const Request& request, int attempt) const;
  [[nodiscard]] double send_by_ms(const Request& request, int attempt, double now_ms) const {
    return retries_.send_by_ms(request, attempt, now_ms);
  }
  [[nodiscard]] RepeatJudgement repeat_judgement(const Request& request, double now_ms) const {
    return retries_.repeat_judgement(request, now_ms);
  }
  Decision client_left(Request& request) const;
  Decision response_started(Request& request, int attempt, double now_ms);
  void body_complete(Request& request, double deadline_ms, double now_ms);

  void update_endpoints(EndpointListUpdate kind, std::span<const EndpointEntry> entries, double now_ms);
  void set_manual_drain(EndpointIndex index, bool drained, double now_ms);
  void probe_ended(EndpointIndex endpoint, Outcome outcome, double took_ms, const LoadReport& load_report,
                   double now_ms);
  void gossip_received(const GossipContent& content, double now_ms);
  void request_trials(std::span<const std::uint32_t> endpoint_ids) { picker_.request_trials(endpoint_ids); }
  PeriodicActions tick(double now_ms);
  [[nodiscard]] double tick_interval_ms() const { return tick_interval_ms_; }

  [[nodiscard]] int unavailable_endpoints(double now_ms, std::vector<EndpointIndex>* unhealthy) const;
  [[nodiscard]] double drop_probability(double now_ms) const { return throttle_.drop_probability(now_ms); }

  [[nodiscard]] LearnedState learned_state(double now_ms) const;
  void restore(const LearnedState& state, double now_ms);

 private:
  // Applies the quota and the throttle to a new request. Returns false if the throttle drops the request.
  bool admit(Request& request, double now_ms);
  // Decides about a request that already has an attempt in flight.
  Decision hedge(Request& request, double now_ms);
  Decision retry_or_finish(Request& request, Outcome outcome, double now_ms);
  // Adds an attempt at the endpoint and returns the decision to send it.
  Decision send(Request& request, EndpointIndex index, double now_ms);
  Decision finish(Request& request, RejectionReason reason, double now_ms);

  void end_attempt(Request& request, Attempt& attempt, Outcome outcome, double now_ms);
  void learn_from(const Attempt& attempt, const LoadReport& load_report, RequestClass& request_class,
                  double now_ms);
  void learn_from_report(const Attempt& attempt, const LoadReport& load_report, double now_ms);
  void learn_from_success(const Attempt& attempt, RequestClass& request_class, double took_ms, double now_ms);
  void learn_from_outcome(const Attempt& attempt, RequestClass& request_class, double took_ms, double now_ms);

  // In-flight accounting: an attempt counts towards its endpoint while the endpoint is known to work on it.
  Attempt& add_attempt(Request& request, EndpointIndex index, double now_ms);
  void start_work(Attempt& attempt, double now_ms);
  void end_work(Attempt& attempt, double now_ms);
  // Returns a bit mask of the attempts in flight; 0 if attempts cannot be cancelled.
  [[nodiscard]] std::uint32_t cancellable_attempts(const Request& request) const;

  // Adds a RequestsDropped event if the throttle drops enough requests and the last event is old enough.
  void report_drops(double now_ms);
  [[nodiscard]] LearnedParts learned_parts() const;

  std::vector<PolicyEvent> events_;  // reported by the next tick()
  PolicySettings settings_;
  Random random_;
  EndpointTable endpoints_;
  RequestClasses classes_;
  AdmissionThrottle throttle_;
  TenantQuotas quotas_;
  OutlierDetector outliers_;
  LoadEstimator load_;
  SlowStart slow_start_;
  ConcurrencyLimiter limiter_;
  LocalityRouter locality_;
  KeyAffinity affinity_;
  RetryBudget retry_budget_;
  RetryPolicy retries_;
  HedgingPolicy hedging_;
  EndpointPicker picker_;
  EndpointUpdater updater_;
  ListSubscription subscription_;
  double tick_interval_ms_ = 100;
  double drops_reported_at_ms_ = -never;
};

}  // namespace meadowgauge
