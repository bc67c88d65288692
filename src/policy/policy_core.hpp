// What the decision module consists of: one class for each concern, and the order in which they are asked.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "policy/admission_throttle.hpp"
#include "policy/concurrency_limiter.hpp"
#include "policy/endpoint.hpp"
#include "policy/endpoint_picker.hpp"
#include "policy/key_affinity.hpp"
#include "policy/learned_state.hpp"
#include "policy/list_subscription.hpp"
#include "policy/load_estimator.hpp"
#include "policy/locality_router.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/policy.hpp"
#include "policy/policy_settings.hpp"
#include "policy/random.hpp"
#include "policy/request_class.hpp"
#include "policy/retry_policy.hpp"
#include "policy/slow_start.hpp"
#include "policy/tenant_quotas.hpp"

namespace meadowgauge {

// The parts refer to each other: it is neither copied nor moved. For the calls see Policy.
struct Policy::Core {
  Core(const Settings& table, std::uint64_t seed, double now_ms);
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  Decision decide(Request& request, double now_ms);
  Decision attempt_ended(Request& request, const AttemptResult& result, double now_ms);
  void response_started(Request& request, Attempt& attempt, double now_ms);
  void body_complete(Request& request, double deadline_ms, double now_ms);
  // A bit for each attempt in flight, where attempts can be cancelled.
  [[nodiscard]] std::uint32_t cancellable(const Request& request) const;
  PeriodicActions tick(double now_ms);

  void update_endpoints(EndpointListUpdate kind, std::span<const EndpointEntry> entries, double now_ms);
  void set_manual_drain(EndpointIndex index, bool drained, double now_ms);
  void gossip_received(const GossipContent& content, double now_ms);

  // Listed endpoints that are drained by hand, ejected or silent; `unhealthy` gets the latter two.
  [[nodiscard]] int unavailable(double now_ms, std::vector<EndpointIndex>* unhealthy) const;

  [[nodiscard]] LearnedParts learned_parts() const;
  [[nodiscard]] LearnedState learned_state(double now_ms) const;
  void restore(const LearnedState& state, double now_ms);

  std::vector<std::string> log_lines;  // until the next tick
  PolicySettings settings;
  Random random;
  EndpointTable endpoints;
  RequestClasses classes;
  AdmissionThrottle throttle;
  TenantQuotas quotas;
  OutlierDetector outliers;
  LoadEstimator load;
  SlowStart slow_start;
  ConcurrencyLimiter limiter;
  LocalityRouter locality;
  KeyAffinity affinity;
  RetryPolicy retries;
  EndpointPicker picker;
  ListSubscription subscription;
  double drops_logged_at_ms = -never;

 private:
  Decision hedge(Request& request, double now_ms);
  Decision send(Request& request, EndpointIndex index, double now_ms);
  Decision finish(Request& request, RejectionReason reason, double now_ms);
  void learn_from(const Attempt& attempt, RequestClass& request_class, double now_ms);
  Attempt& add_attempt(Request& request, EndpointIndex index, double now_ms);
  void start_work(Attempt& attempt, double now_ms);
  void end_work(Attempt& attempt, double now_ms);
  void log_drops(double now_ms);
  void update_endpoint(const EndpointEntry& entry, double now_ms);
};

}  // namespace meadowgauge
