// How the parts work together: admit, pick, outcome, next attempt, answer. Every decision and every constant
// of one stands in this file or in that of its concern; docs/design.md gives the reasons.

#include <algorithm>
#include <utility>

#include "policy/policy_core.hpp"

namespace meadowgauge {

constexpr double tick_interval = 100;  // ms

double Policy::tick_interval_ms() const { return tick_interval; }

Decision Policy::Core::decide(Request& request, double now_ms) {
  if (request.answered || request.streaming) return {};
  if (!request.admitted) {
    request.admitted = true;
    retries.record_arrival();
    request.over_quota = quotas.exceeds_quota(request.tenant, now_ms);
    load.record_hint(request.work_ms);
    if (throttle.should_drop(request.over_quota, now_ms))
      return finish(request, RejectionReason::throttle, now_ms);
  } else if (request.in_flight > 0) {
    return hedge(request, now_ms);
  }
  if (Decision decision; load.request_probes(request, decision, now_ms)) return decision;
  EndpointIndex index = picker.pick(request, now_ms);
  return index != no_endpoint ? send(request, index, now_ms)
                              : finish(request, picker.rejection_reason(), now_ms);
}

// A second copy beside the attempt in flight, where there may be one and it is time for it.
Decision Policy::Core::hedge(Request& request, double now_ms) {
  if (!retries.may_hedge(request)) return {};
  EndpointIndex index = retries.should_hedge(request, now_ms) ? picker.pick(request, now_ms) : no_endpoint;
  if (index == no_endpoint) return {.kind = Decision::wait};
  retries.spend_hedge_budget(request);
  return send(request, index, now_ms);
}

Decision Policy::Core::send(Request& request, EndpointIndex index, double now_ms) {
  auto& endpoint = endpoints[index];
  slow_start.spend(endpoint, now_ms);
  double expected_ms = 0;
  if (load.has_fresh_probe(endpoint, now_ms))
    expected_ms = load.predicted_ms(request, endpoint, slow_start.capacity_fraction(endpoint, now_ms));
  endpoint.load.probed_load += 1;
  endpoint.undrained_at_ms = -never;
  auto& attempt = add_attempt(request, index, now_ms);
  attempt.expected_ms = static_cast<float>(expected_ms);
  // Its server has nothing to do while a body is still coming, and may be silent all that time.
  if (!request.body_incoming) start_work(attempt, now_ms);
  return {.kind = Decision::attempt, .endpoint = index};
}

// Its work is done where a response flows: how long that takes is its client's affair.
void Policy::Core::response_started(Request& request, Attempt& attempt, double now_ms) {
  request.streaming = true;
  attempt.response_started_at_ms = now_ms;
  if (attempt.in_flight) end_work(attempt, now_ms);
}

void Policy::Core::body_complete(Request& request, double deadline_ms, double now_ms) {
  request.deadline_ms = deadline_ms;
  request.body_incoming = false;
  for (auto& attempt : request.sent_attempts()) {
    if (!attempt.in_flight || attempt.response_started_at_ms != 0 || attempt.counted_in_flight) continue;
    attempt.sent_at_ms = now_ms;
    start_work(attempt, now_ms);
  }
}

Decision Policy::Core::attempt_ended(Request& request, const AttemptResult& result, double now_ms) {
  if (result.attempt < 0 || result.attempt >= request.attempt_count) return {};
  auto& attempt = request.attempts[static_cast<std::size_t>(result.attempt)];
  if (!attempt.in_flight) return {};
  auto outcome = result.outcome;
  auto& endpoint = endpoints[attempt.endpoint];
  attempt.in_flight = false;
  attempt.outcome = outcome;
  --request.in_flight;
  end_work(attempt, now_ms);
  bool was_answered = request.answered;
  request.answered = request.answered || result.request_closed;
  // How busy answers say a server is, late: all would follow it to the same one, so it tells of the tier.
  auto utilization = load.utilization(result.load_report);
  if (outcome == Outcome::succeeded && utilization) {
    limiter.record_utilization(*utilization);
    locality.record_utilization(endpoint, *utilization, now_ms);
  }
  if (outcome != Outcome::cancelled && outcome != Outcome::superseded)
    load.record_attempt(endpoint, attempt, result.load_report, now_ms);
  learn_from(attempt, classes.of(request), now_ms);
  Decision decision;
  if (was_answered) return decision;
  if (request.answered) decision.cancel = cancellable(request);
  if (request.answered || request.in_flight > 0 || request.streaming) return decision;
  // What never came up cost nobody work: the budget ran out while a server could not be reached.
  bool unreached = outcome == Outcome::unreachable;
  auto rejection_reason = retries.budget_spent() ? RejectionReason::retry_budget : RejectionReason::throttle;
  if (unreached || retries.may_retry(outcome, now_ms)) {
    if (load.request_probes(request, decision, now_ms)) return decision;
    if (EndpointIndex index = picker.pick(request, now_ms); index != no_endpoint) {
      if (!unreached) retries.spend_retry();
      return send(request, index, now_ms);
    }
    rejection_reason = picker.rejection_reason();
  }
  return finish(request, rejection_reason, now_ms);
}

void Policy::Core::learn_from(const Attempt& attempt, RequestClass& request_class, double now_ms) {
  auto& endpoint = endpoints[attempt.endpoint];
  bool succeeded = attempt.outcome == Outcome::succeeded;
  // Also what was cancelled: the server may work on.
  if (!succeeded) SlowStart::record_failure(endpoint, now_ms);
  if (attempt.outcome == Outcome::cancelled || attempt.outcome == Outcome::superseded) return;
  if (succeeded || attempt.outcome == Outcome::timeout) limiter.record_timely(succeeded);
  endpoint.awaiting_first_outcome = false;
  double took_ms =
      (attempt.response_started_at_ms > 0 ? attempt.response_started_at_ms : now_ms) - attempt.sent_at_ms;
  if (succeeded) {
    outliers.record_duration(took_ms, now_ms);
    SlowStart::record_success(endpoint);
    load.record_duration(attempt, took_ms);
    limiter.record_duration(attempt, request_class, took_ms, now_ms);
    locality.record_duration(endpoint, took_ms);
  }
  // One bad server is not a tier without capacity: the throttle does not count it.
  bool outlier = endpoint.outlier.on_trial;
  if (attempt.outcome != Outcome::rejected) outliers.record_outcome(attempt.endpoint, !succeeded, now_ms);
  if (succeeded) outliers.record_relative_latency(endpoint, request_class, took_ms);
  if (succeeded || !(outlier || endpoint.outlier.on_trial)) throttle.record(succeeded, now_ms);
}

// The final answer when nothing has succeeded: a rejection only where a client's retry does no harm, also as
// late as it is told to come again.
Decision Policy::Core::finish(Request& request, RejectionReason reason, double now_ms) {
  Decision decision;
  if (request.answered || request.streaming) return decision;
  double pressure = std::max(throttle.drop_probability(now_ms), limiter.rejected_share());
  double retry_after_ms = settings.max_retry_after_ms * std::clamp(pressure, 0.0, 1.0);
  bool may_repeat = retries.client_may_repeat(request, now_ms + retry_after_ms);
  request.answered = true;
  decision.kind = may_repeat ? Decision::reject : Decision::fail;
  decision.reason = reason;
  if (may_repeat) decision.retry_after_ms = retry_after_ms;
  decision.cancel = cancellable(request);
  return decision;
}

PeriodicActions Policy::Core::tick(double now_ms) {
  PeriodicActions actions;
  actions.subscribe = subscription.tick(now_ms);
  limiter.tick(tick_interval);
  locality.tick();
  if (auto message = load.gossip_due(now_ms)) {
    message->content.keys = affinity.shares();
    actions.gossip.push_back(std::move(*message));
  }
  slow_start.tick(tick_interval, now_ms);
  log_drops(now_ms);
  actions.log_lines = std::exchange(log_lines, {});
  return actions;
}

}  // namespace meadowgauge
