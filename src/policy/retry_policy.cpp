#include "policy/retry_policy.hpp"

#include <algorithm>
#include <cmath>

namespace meadowgauge {

constexpr double retries_per_request = 0.1;  // attempts beyond the first
constexpr double most_budget = 10;
constexpr double all_budgets = 300;    // of all balancers: a thousand with ten each doubled an overload
constexpr double copy_times = 1.5;     // times the slow end of the answers, for an outlier's requests
constexpr double copy_floor_ms = 400;  // the same at the least
constexpr double short_share = 0.5;    // of the tier's mean time
constexpr double ttl_margin = 0.1;     // of the time repeats are dropped, kept in hand
constexpr double last_ticks = 3;       // of the wire before a request is due, in which nothing is sent again
constexpr double answer_ticks = 2;     // of the wire, kept for the answer
constexpr double give_up_share = 0.5;  // of the target, where that leaves time for another attempt

static bool may_have_run(const Attempt& attempt) {
  using enum Outcome;
  auto o = attempt.outcome;
  return attempt.in_flight || (o != rejected && o != unreachable && o != superseded);
}

static bool still_remembered(const Attempt& attempt, const RequestClassSettings& rules, double now_ms) {
  return now_ms - attempt.picked_at_ms <= rules.key_ttl_ms * (1 - ttl_margin);
}

// Whether the endpoint is in another group than that in which the attempt was to run.
static bool outside(const RequestClassSettings& rules, const Attempt& attempt, const Endpoint& endpoint) {
  return rules.idempotency == Idempotency::deduplicated &&
         ((rules.group == DeduplicationGroup::zone && attempt.zone != endpoint.zone) ||
          (rules.group == DeduplicationGroup::cell && attempt.cell != endpoint.cell));
}

double RetryPolicy::largest_budget(const PolicySettings& settings) {
  return std::clamp(all_budgets / settings.replicas, 1.0, most_budget);
}

RejectionReason RetryPolicy::rejection_reason(const Request& request, const Endpoint& endpoint,
                                              double now_ms) const {
  int sent = request.attempt_count;
  if (request.answered || request.streaming || sent >= settings_.max_attempts)
    return RejectionReason::attempts;
  if (sent > 0 && (request.body_forwarded || (request.large_body && request.in_flight > 0)))
    return RejectionReason::attempts;
  // The last was given up for want of time: another would put off the final answer past the due time.
  double last_at_ms = request.deadline_ms - (sent > 0 ? last_ticks * settings_.wire_tick_ms : 0);
  if (now_ms >= last_at_ms) return RejectionReason::deadline;
  if (!endpoint.is_available()) return RejectionReason::no_server;
  const auto& rules = classes_.of(request).settings;
  for (const auto& attempt : request.sent_attempts()) {
    if (attempt.in_flight && !settings_.hedging_enabled) return RejectionReason::attempts;
    if (!may_have_run(attempt) || rules.idempotency == Idempotency::idempotent) continue;
    if (!rules.repeatable() || !still_remembered(attempt, rules, now_ms) || outside(rules, attempt, endpoint))
      return RejectionReason::not_repeatable;
  }
  return RejectionReason::none;
}

// Where it moved while the attempt waited, servers know nothing of those before, or of this one later.
bool RetryPolicy::may_still_be_sent(const Request& request, const Attempt& attempt) const {
  return !outside(classes_.of(request).settings, attempt, endpoints_[attempt.endpoint]);
}

bool RetryPolicy::client_may_repeat(const Request& request, double at_ms) const {
  const auto& rules = classes_.of(request).settings;
  if (rules.idempotency == Idempotency::idempotent) return true;
  bool anywhere = rules.idempotency == Idempotency::deduplicated && rules.group == DeduplicationGroup::all;
  return std::ranges::all_of(request.sent_attempts(), [&](const Attempt& attempt) {
    return !may_have_run(attempt) || (anywhere && still_remembered(attempt, rules, at_ms));
  });
}

void RetryPolicy::record_arrival() { budget_ = std::min(largest_budget_, budget_ + retries_per_request); }

bool RetryPolicy::may_retry(Outcome outcome, double now_ms) const {
  return outcome != Outcome::cancelled && !budget_spent() && throttle_.drop_probability(now_ms) <= 0;
}

bool RetryPolicy::may_hedge(const Request& request) const {
  return settings_.hedging_enabled && request.attempt_count < 2 && !request.large_body &&
         classes_.of(request).settings.repeatable();
}

bool RetryPolicy::is_short(const Request& request) const {
  const auto& c = classes_.of(request);
  return ConcurrencyLimiter::has_learned(c) &&
         c.relative_latency < short_share * limiter_.mean_relative_latency();
}

// What takes long mostly is much work, which a copy would do twice; what is short is behind such.
bool RetryPolicy::should_hedge(const Request& request, double now_ms) const {
  const auto& endpoint = endpoints_[request.sent_attempts().back().endpoint];
  return (is_short(request) || outliers_.ejected(endpoint, now_ms) ||
          outliers_.unresponsive(endpoint, now_ms)) &&
         may_retry(Outcome::timeout, now_ms);
}

void RetryPolicy::spend_hedge_budget(const Request& request) {
  budget_ -= is_short(request) ? classes_.of(request).relative_latency / limiter_.mean_relative_latency() : 1;
}

// Judged only when an attempt is decided, a window could end while it waits for a connection.
double RetryPolicy::send_by_ms(const Request& request, double now_ms) const {
  const auto& rules = classes_.of(request).settings;
  double latest_ms = never;
  for (const auto& attempt : request.sent_attempts().first(request.sent_attempts().size() - 1))
    if (rules.idempotency == Idempotency::deduplicated && may_have_run(attempt))
      latest_ms = std::min(latest_ms, attempt.picked_at_ms + rules.key_ttl_ms * (1 - ttl_margin) - now_ms);
  return latest_ms;
}

AttemptTimeout RetryPolicy::timeout(const Request& request, double now_ms) const {
  AttemptTimeout t;
  double tick_ms = settings_.wire_tick_ms, p95_latency_ms = outliers_.p95_latency_ms();
  t.limit_ms = std::max(tick_ms, request.deadline_ms - now_ms - answer_ticks * tick_ms);
  if (request.attempt_count > 0) t.send_by_ms = send_by_ms(request, now_ms);
  // Where no copy may go beside it, what takes longer than nearly all is given up in time for another.
  double give_up_ms = classes_.of(request).settings.target_ms * give_up_share;
  if (!settings_.hedging_enabled && load_.uses_load_reports() && request.attempt_count < 2 &&
      classes_.of(request).settings.repeatable() && p95_latency_ms < give_up_ms && p95_latency_ms > 0 &&
      !budget_spent())
    t.limit_ms = std::min(t.limit_ms, give_up_ms);
  if (request.in_flight == 0) t.ask_again_ms = load_.probe_wait_ms();
  if (may_hedge(request) && request.in_flight == request.attempt_count && request.in_flight > 0)
    t.ask_again_ms = is_short(request)
                         ? copy_times * std::exp(classes_.of(request).mean_log_latency)
                         : std::max(copy_floor_ms, copy_times * p95_latency_ms) * request.attempt_count;
  return t;
}

}  // namespace meadowgauge
