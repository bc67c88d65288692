#include "policy/retry_policy.hpp"

#include <algorithm>

namespace meadowgauge {
namespace {

constexpr double key_window_margin_share = 0.1;  // unused end of the time that servers remember a key
constexpr double retry_reserve_ticks = 3;        // no retry within this many wire ticks of the deadline
constexpr double response_reserve_ticks = 2;     // wire ticks before the deadline reserved for the response
constexpr double early_limit_share = 0.5;  // time limit of an attempt given up early / latency objective

bool may_have_run(const Attempt& attempt) {
  return attempt.in_flight || meadowgauge::may_have_run(attempt.outcome);
}

double key_window_ms(const RequestClassSettings& rules) {
  return rules.key_ttl_ms * (1 - key_window_margin_share);
}

bool is_key_remembered(const Attempt& attempt, const RequestClassSettings& rules, double now_ms) {
  return now_ms - attempt.picked_at_ms <= key_window_ms(rules);
}

std::string_view group_name(const RequestClassSettings& rules) {
  if (rules.idempotency != Idempotency::deduplicated) return "none";
  if (rules.group == DeduplicationGroup::zone) return "zone";
  return rules.group == DeduplicationGroup::cell ? "cell" : "all";
}

// Returns whether the endpoint is outside the group of servers that share the attempt's idempotency key.
bool is_outside_group(const RequestClassSettings& rules, const Attempt& attempt, const Endpoint& endpoint) {
  if (rules.idempotency != Idempotency::deduplicated) return false;
  if (rules.group == DeduplicationGroup::zone) return attempt.zone != endpoint.zone;
  return rules.group == DeduplicationGroup::cell && attempt.cell != endpoint.cell;
}

}  // namespace

// Checks, in this order:
//  attempts        the request is answered, all allowed attempts were made, or the body can't be sent again
//  deadline        the deadline has passed, or is so near that a retry would delay the final answer past it
//  no_server       the endpoint is draining, not on the list, or drained by an operator
//  attempts        another attempt is in flight and hedging is not allowed
//  not_repeatable  an earlier attempt may have run, and another one could repeat its effect: the request has
//                  no idempotency key, or the endpoint is in another group, or the key window has ended
RejectionReason RetryPolicy::rejection_reason(const Request& request, const Endpoint& endpoint,
                                              double now_ms) const {
  bool is_retry = request.attempt_count > 0;
  if (request.answered || request.streaming || request.attempt_count >= parts_.settings.max_attempts)
    return RejectionReason::attempts;
  if (is_retry && (request.body_forwarded || (request.large_body && request.in_flight > 0)))
    return RejectionReason::attempts;
  double reserve_ms = is_retry ? retry_reserve_ticks * parts_.settings.wire_tick_ms : 0;
  if (now_ms >= request.deadline_ms - reserve_ms) return RejectionReason::deadline;
  if (!endpoint.is_available()) return RejectionReason::no_server;
  for (const auto& attempt : request.sent_attempts()) {
    if (attempt.in_flight && !parts_.settings.hedging_enabled) return RejectionReason::attempts;
    if (!may_run_again_at(request, attempt, endpoint, now_ms)) return RejectionReason::not_repeatable;
  }
  return RejectionReason::none;
}

// Returns whether another attempt at the endpoint is safe although `earlier` may have run.
bool RetryPolicy::may_run_again_at(const Request& request, const Attempt& earlier, const Endpoint& endpoint,
                                   double now_ms) const {
  const auto& rules = parts_.classes.of(request).settings;
  if (!may_have_run(earlier) || rules.idempotency == Idempotency::idempotent) return true;
  if (!rules.repeatable()) return false;
  return is_key_remembered(earlier, rules, now_ms) && !is_outside_group(rules, earlier, endpoint);
}

bool RetryPolicy::may_still_be_sent(const Request& request, const Attempt& attempt) const {
  return !is_outside_group(parts_.classes.of(request).settings, attempt, parts_.endpoints[attempt.endpoint]);
}

bool RetryPolicy::client_may_repeat(const Request& request, double at_ms) const {
  const auto& rules = parts_.classes.of(request).settings;
  if (rules.idempotency == Idempotency::idempotent) return true;
  // A request repeated by the client may reach any server, so a key that only a zone or a cell knows is not
  // enough.
  bool is_key_shared_by_all =
      rules.idempotency == Idempotency::deduplicated && rules.group == DeduplicationGroup::all;
  return std::ranges::all_of(request.sent_attempts(), [&](const Attempt& attempt) {
    return !may_have_run(attempt) || (is_key_shared_by_all && is_key_remembered(attempt, rules, at_ms));
  });
}

bool RetryPolicy::may_retry(Outcome outcome, double now_ms) const {
  return outcome != Outcome::cancelled && !parts_.budget.is_spent() &&
         parts_.throttle.drop_probability(now_ms) <= 0;
}

double RetryPolicy::send_by_ms(const Request& request, int attempt, double now_ms) const {
  const auto& rules = parts_.classes.of(request).settings;
  if (rules.idempotency != Idempotency::deduplicated) return never;
  double send_by_ms = never;
  for (int i = 0; i < request.attempt_count; ++i) {
    const auto& other = request.attempts[static_cast<std::size_t>(i)];
    if (i == attempt || !may_have_run(other)) continue;
    send_by_ms = std::min(send_by_ms, other.picked_at_ms + key_window_ms(rules) - now_ms);
  }
  return send_by_ms;
}

RepeatJudgement RetryPolicy::repeat_judgement(const Request& request, double now_ms) const {
  if (request.attempt_count == 0) return {};
  const auto& rules = parts_.classes.of(request).settings;
  const auto& newest = request.sent_attempts().back();
  RepeatJudgement judgement{
      .group = group_name(rules), .zone = newest.zone, .cell = newest.cell, .window_ms = rules.key_ttl_ms};
  if (request.attempt_count == 1) return judgement;
  judgement.basis = RepeatBasis::none_has_run;
  for (const auto& earlier : request.sent_attempts().first(request.sent_attempts().size() - 1)) {
    if (!may_have_run(earlier)) continue;
    judgement.earliest_age_ms = std::max(judgement.earliest_age_ms, now_ms - earlier.picked_at_ms);
    bool is_idempotent = rules.idempotency == Idempotency::idempotent;
    judgement.basis = is_idempotent ? RepeatBasis::idempotent : RepeatBasis::key_window;
  }
  return judgement;
}

// The limit is the time until the deadline, less a reserve for the response, or the early limit if that is
// shorter and the attempt should be given up early.
double RetryPolicy::attempt_limit_ms(const Request& request, double now_ms) const {
  double tick_ms = parts_.settings.wire_tick_ms;
  double until_deadline_ms = request.deadline_ms - now_ms - response_reserve_ticks * tick_ms;
  double limit_ms = std::max(tick_ms, until_deadline_ms);
  double early_limit_ms = parts_.classes.of(request).settings.latency_objective_ms * early_limit_share;
  return should_give_up_early(request, early_limit_ms) ? std::min(limit_ms, early_limit_ms) : limit_ms;
}

// Decides whether a first attempt is given up early, so that a retry can still meet the latency objective.
// Hedging must be off (a hedged request would serve instead), servers must report queue depths, a retry must
// be possible (repeatable class, a body that can be sent again, budget left), and 95% of the responses must
// be faster than the early limit.
bool RetryPolicy::should_give_up_early(const Request& request, double early_limit_ms) const {
  if (parts_.settings.hedging_enabled || !parts_.load.uses_load_reports()) return false;
  if (request.large_body || request.attempt_count >= 2 || !parts_.classes.of(request).settings.repeatable())
    return false;
  double p95_ms = parts_.outliers.p95_latency_ms();
  return p95_ms > 0 && p95_ms < early_limit_ms && !parts_.budget.is_spent();
}

}  // namespace meadowgauge
