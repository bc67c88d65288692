#include "policy/policy_core.hpp"

#include <algorithm>
#include <utility>

namespace meadowgauge {
namespace {

constexpr double min_reported_drop_probability = 0.1;  // drops are reported above this probability
constexpr double drop_report_interval_ms = 5000;

}  // namespace

Policy::Core::Core(const Settings& raw_settings, std::uint64_t seed, double now_ms)
    : settings_(read_policy_settings(raw_settings, events_)),
      random_(seed),
      classes_(settings_.request_classes),
      throttle_(random_, now_ms),
      quotas_(settings_, now_ms),
      outliers_(endpoints_, random_, events_),
      load_(settings_, endpoints_, outliers_, random_, now_ms),
      slow_start_(settings_, endpoints_, load_, random_, now_ms),
      limiter_(settings_, endpoints_, classes_, load_, slow_start_, now_ms),
      locality_(settings_, endpoints_, random_),
      affinity_(settings_, endpoints_, load_, locality_, random_),
      retry_budget_(settings_),
      retries_({.settings = settings_,
                .endpoints = endpoints_,
                .classes = classes_,
                .throttle = throttle_,
                .outliers = outliers_,
                .load = load_,
                .budget = retry_budget_}),
      hedging_({.settings = settings_,
                .endpoints = endpoints_,
                .classes = classes_,
                .outliers = outliers_,
                .limiter = limiter_,
                .retries = retries_,
                .budget = retry_budget_}),
      picker_({.settings = settings_,
               .endpoints = endpoints_,
               .classes = classes_,
               .outliers = outliers_,
               .load = load_,
               .slow_start = slow_start_,
               .limiter = limiter_,
               .locality = locality_,
               .affinity = affinity_,
               .retries = retries_,
               .random = random_}),
      updater_(settings_, endpoints_, outliers_, load_, slow_start_),
      subscription_(settings_, random_, events_, now_ms) {}

// --- Decisions -------------------------------------------------------------------------------------------

Decision Policy::Core::decide(Request& request, double now_ms) {
  if (request.answered || request.streaming) return {};
  if (!request.admitted) {
    if (!admit(request, now_ms)) return finish(request, RejectionReason::throttle, now_ms);
  } else if (request.in_flight > 0) {
    return hedge(request, now_ms);
  }
  Decision decision;
  if (load_.request_probes(request, decision, now_ms)) return decision;
  EndpointIndex index = picker_.pick(request, now_ms);
  if (index == no_endpoint) return finish(request, picker_.rejection_reason(), now_ms);
  return send(request, index, now_ms);
}

bool Policy::Core::admit(Request& request, double now_ms) {
  request.admitted = true;
  retry_budget_.record_arrival();
  request.over_quota = quotas_.exceeds_quota(request.tenant, now_ms);
  load_.record_hint(request.work_ms);
  return !throttle_.should_drop(request.over_quota, now_ms);
}

// Sends a hedged request if HedgingPolicy, which describes the conditions, allows one.
Decision Policy::Core::hedge(Request& request, double now_ms) {
  if (!hedging_.may_hedge(request)) return {};
  if (!hedging_.should_hedge(request, now_ms)) return {.kind = Decision::wait};
  EndpointIndex index = picker_.pick(request, now_ms);
  if (index == no_endpoint) return {.kind = Decision::wait};
  hedging_.spend_budget(request);
  return send(request, index, now_ms);
}

Decision Policy::Core::send(Request& request, EndpointIndex index, double now_ms) {
  auto& endpoint = endpoints_[index];
  slow_start_.spend(endpoint, now_ms);
  double expected_ms = 0;
  if (load_.has_fresh_probe(endpoint, now_ms))
    expected_ms = load_.predicted_ms(request, endpoint, slow_start_.capacity_fraction(endpoint, now_ms));
  endpoint.load.probed_load += 1;
  endpoint.undrained_at_ms = -never;
  EndpointPicker::record_trial(endpoint);
  auto& attempt = add_attempt(request, index, now_ms);
  attempt.expected_ms = static_cast<float>(expected_ms);
  // An endpoint that is still receiving the body has no work yet, so its silence is not a fault.
  if (!request.body_incoming) start_work(attempt, now_ms);
  return {.kind = Decision::attempt, .endpoint = index};
}

Decision Policy::Core::attempt_ended(Request& request, const AttemptResult& result, double now_ms) {
  if (result.attempt < 0 || result.attempt >= request.attempt_count) return {};
  auto& attempt = request.attempts[static_cast<std::size_t>(result.attempt)];
  if (!attempt.in_flight) return {};
  end_attempt(request, attempt, result.outcome, now_ms);
  bool was_answered = request.answered;
  request.answered = request.answered || result.request_closed;
  learn_from(attempt, result.load_report, classes_.of(request), now_ms);
  if (was_answered) return {};
  if (request.answered) return {.cancel = cancellable_attempts(request)};
  if (request.in_flight > 0 || request.streaming) return {};
  return retry_or_finish(request, result.outcome, now_ms);
}

// An attempt that reached no endpoint caused no work, so its retry is not charged to the retry budget.
// Otherwise one unreachable endpoint would use up the budget.
Decision Policy::Core::retry_or_finish(Request& request, Outcome outcome, double now_ms) {
  bool is_unreachable = outcome == Outcome::unreachable;
  if (!is_unreachable && !retries_.may_retry(outcome, now_ms)) {
    bool is_spent = retry_budget_.is_spent();
    return finish(request, is_spent ? RejectionReason::retry_budget : RejectionReason::throttle, now_ms);
  }
  Decision decision;
  if (load_.request_probes(request, decision, now_ms)) return decision;
  EndpointIndex index = picker_.pick(request, now_ms);
  if (index == no_endpoint) return finish(request, picker_.rejection_reason(), now_ms);
  if (!is_unreachable) retry_budget_.spend(1);
  return send(request, index, now_ms);
}

// Gives the final answer when no attempt has succeeded: a rejection if the client may safely repeat the
// request, even after the Retry-After delay, or else a failure. Retry-After is the maximum multiplied by the
// drop probability or the limiter's rejected share, whichever is larger.
Decision Policy::Core::finish(Request& request, RejectionReason reason, double now_ms) {
  if (request.answered || request.streaming) return {};
  double pressure = std::max(throttle_.drop_probability(now_ms), limiter_.rejected_share());
  double retry_after_ms = settings_.max_retry_after_ms * std::clamp(pressure, 0.0, 1.0);
  bool may_repeat = retries_.client_may_repeat(request, now_ms + retry_after_ms);
  request.answered = true;
  return {.kind = may_repeat ? Decision::reject : Decision::fail,
          .retry_after_ms = may_repeat ? retry_after_ms : 0,
          .cancel = cancellable_attempts(request),
          .reason = reason};
}

AttemptTimeout Policy::Core::attempt_timeout(const Request& request, double now_ms) const {
  AttemptTimeout timeout{.limit_ms = retries_.attempt_limit_ms(request, now_ms),
                         .send_by_ms = retries_.send_by_ms(request, request.attempt_count - 1, now_ms)};
  bool all_in_flight = request.in_flight == request.attempt_count;
  if (request.in_flight == 0) {
    timeout.ask_again_ms = load_.probe_wait_ms();
  } else if (all_in_flight && hedging_.may_hedge(request)) {
    timeout.ask_again_ms = hedging_.delay_ms(request);
  }
  return timeout;
}

bool Policy::Core::may_still_be_sent(const Request& request, int attempt) const {
  return retries_.may_still_be_sent(request, request.attempts[static_cast<std::size_t>(attempt)]);
}

Decision Policy::Core::client_left(Request& request) const {
  request.answered = true;
  return {.cancel = cancellable_attempts(request)};
}

// The endpoint's work ends when its response starts: the time to stream the response depends on the client.
Decision Policy::Core::response_started(Request& request, int attempt_number, double now_ms) {
  if (attempt_number < 0 || attempt_number >= request.attempt_count) return {};
  auto& attempt = request.attempts[static_cast<std::size_t>(attempt_number)];
  request.streaming = true;
  attempt.response_started_at_ms = now_ms;
  if (attempt.in_flight) end_work(attempt, now_ms);
  return {.cancel = cancellable_attempts(request) & ~(1U << attempt_number)};
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

// --- Learning --------------------------------------------------------------------------------------------

void Policy::Core::learn_from(const Attempt& attempt, const LoadReport& load_report,
                              RequestClass& request_class, double now_ms) {
  learn_from_report(attempt, load_report, now_ms);
  auto& endpoint = endpoints_[attempt.endpoint];
  bool has_succeeded = attempt.outcome == Outcome::succeeded;
  // A cancelled attempt also counts as a failure here: the endpoint may still be working on it.
  if (!has_succeeded) SlowStart::record_failure(endpoint, now_ms);
  if (attempt.outcome == Outcome::cancelled || attempt.outcome == Outcome::superseded) return;
  if (has_succeeded || attempt.outcome == Outcome::timeout) limiter_.record_timely(has_succeeded);
  endpoint.awaiting_first_outcome = false;
  double ended_at_ms = attempt.response_started_at_ms > 0 ? attempt.response_started_at_ms : now_ms;
  double took_ms = ended_at_ms - attempt.sent_at_ms;
  if (has_succeeded) learn_from_success(attempt, request_class, took_ms, now_ms);
  learn_from_outcome(attempt, request_class, took_ms, now_ms);
}

// Uses reported utilization for the tier and its zones only, not for the endpoint itself: reports are delayed
// and smoothed, so balancers that picked by them would all choose the same endpoint.
void Policy::Core::learn_from_report(const Attempt& attempt, const LoadReport& load_report, double now_ms) {
  auto& endpoint = endpoints_[attempt.endpoint];
  auto utilization = load_.utilization(load_report);
  if (attempt.outcome == Outcome::succeeded && utilization) {
    limiter_.record_utilization(*utilization);
    locality_.record_utilization(endpoint, *utilization, now_ms);
  }
  if (attempt.outcome != Outcome::cancelled && attempt.outcome != Outcome::superseded)
    load_.record_attempt(endpoint, attempt, load_report, now_ms);
}

void Policy::Core::learn_from_success(const Attempt& attempt, RequestClass& request_class, double took_ms,
                                      double now_ms) {
  auto& endpoint = endpoints_[attempt.endpoint];
  outliers_.record_duration(took_ms, now_ms);
  SlowStart::record_success(endpoint);
  load_.record_duration(attempt, took_ms);
  limiter_.record_duration(attempt, request_class, took_ms, now_ms);
  locality_.record_duration(endpoint, took_ms);
}

// Updates outlier detection and the throttle. The throttle ignores failures of an ejected or half-open
// endpoint: one outlier does not mean that the tier lacks capacity.
void Policy::Core::learn_from_outcome(const Attempt& attempt, RequestClass& request_class, double took_ms,
                                      double now_ms) {
  auto& endpoint = endpoints_[attempt.endpoint];
  bool has_succeeded = attempt.outcome == Outcome::succeeded;
  bool was_outlier = endpoint.outlier.ejected_or_half_open;
  if (attempt.outcome != Outcome::rejected)
    outliers_.record_outcome(attempt.endpoint, !has_succeeded, now_ms);
  if (has_succeeded) outliers_.record_relative_latency(endpoint, request_class, took_ms);
  bool is_outlier = was_outlier || endpoint.outlier.ejected_or_half_open;
  if (has_succeeded || !is_outlier) throttle_.record(has_succeeded, now_ms);
}

// --- In-flight accounting --------------------------------------------------------------------------------

std::uint32_t Policy::Core::cancellable_attempts(const Request& request) const {
  std::uint32_t mask = 0;
  if (!settings_.can_cancel) return mask;
  for (std::size_t n = 0; n < request.sent_attempts().size(); ++n)
    if (request.attempts[n].in_flight) mask |= 1U << n;
  return mask;
}

Attempt& Policy::Core::add_attempt(Request& request, EndpointIndex index, double now_ms) {
  const auto& endpoint = endpoints_[index];
  auto& attempt = request.attempts[static_cast<std::size_t>(request.attempt_count++)];
  attempt = {.endpoint = index,
             .zone = endpoint.zone,
             .cell = endpoint.cell,
             .picked_at_ms = now_ms,
             .sent_at_ms = now_ms,
             .outcome = Outcome::superseded,
             .in_flight_at_send = endpoints_.total_in_flight() + 1,
             .in_flight = true};
  ++request.in_flight;
  return attempt;
}

void Policy::Core::end_attempt(Request& request, Attempt& attempt, Outcome outcome, double now_ms) {
  attempt.in_flight = false;
  attempt.outcome = outcome;
  --request.in_flight;
  end_work(attempt, now_ms);
}

void Policy::Core::start_work(Attempt& attempt, double now_ms) {
  auto& endpoint = endpoints_[attempt.endpoint];
  attempt.counted_in_flight = true;
  endpoints_.add_in_flight(1);
  if (endpoint.in_flight++ == 0) endpoint.last_activity_at_ms = now_ms;
}

void Policy::Core::end_work(Attempt& attempt, double now_ms) {
  auto& endpoint = endpoints_[attempt.endpoint];
  endpoint.last_activity_at_ms = now_ms;
  if (!std::exchange(attempt.counted_in_flight, false)) return;
  endpoints_.add_in_flight(-1);
  endpoint.in_flight = std::max(0, endpoint.in_flight - 1);
}

// --- Endpoints, peers, time ------------------------------------------------------------------------------

void Policy::Core::update_endpoints(EndpointListUpdate kind, std::span<const EndpointEntry> entries,
                                    double now_ms) {
  if (kind == EndpointListUpdate::failed) return subscription_.list_failed(now_ms);
  if (kind != EndpointListUpdate::cached) subscription_.list_received();
  updater_.update(kind != EndpointListUpdate::delta, entries, now_ms);
}

void Policy::Core::set_manual_drain(EndpointIndex index, bool drained, double now_ms) {
  updater_.set_manual_drain(index, drained, now_ms);
}

void Policy::Core::probe_ended(EndpointIndex endpoint, Outcome outcome, double took_ms,
                               const LoadReport& load_report, double now_ms) {
  load_.probe_ended(endpoint, outcome, took_ms, load_report, now_ms);
}

void Policy::Core::gossip_received(const GossipContent& content, double now_ms) {
  affinity_.gossip_received(content.keys);
  load_.gossip_received(content.endpoints, now_ms);
}

PeriodicActions Policy::Core::tick(double now_ms) {
  PeriodicActions actions;
  actions.subscribe = subscription_.tick(now_ms);
  limiter_.tick(tick_interval_ms_);
  locality_.tick();
  if (auto message = load_.gossip_due(now_ms)) {
    message->content.keys = affinity_.shares();
    actions.gossip.push_back(std::move(*message));
  }
  slow_start_.tick(tick_interval_ms_, now_ms);
  report_drops(now_ms);
  actions.events = std::exchange(events_, {});
  return actions;
}

void Policy::Core::report_drops(double now_ms) {
  double drop_probability = throttle_.drop_probability(now_ms);
  if (drop_probability <= min_reported_drop_probability) return;
  if (now_ms - drops_reported_at_ms_ <= drop_report_interval_ms) return;
  events_.emplace_back(RequestsDropped{.drop_probability = drop_probability});
  drops_reported_at_ms_ = now_ms;
}

int Policy::Core::unavailable_endpoints(double now_ms, std::vector<EndpointIndex>* unhealthy) const {
  int count = 0;
  for (EndpointIndex index : endpoints_.listed()) {
    const auto& endpoint = endpoints_[index];
    bool is_outlier =
        OutlierDetector::is_ejected(endpoint, now_ms) || outliers_.is_unresponsive(endpoint, now_ms);
    bool is_unhealthy = endpoint.state == EndpointState::ready && is_outlier;
    if (is_unhealthy && unhealthy != nullptr) unhealthy->push_back(index);
    if (endpoint.manually_drained || is_unhealthy) ++count;
  }
  return count;
}

// --- Learned state ---------------------------------------------------------------------------------------

// Collects the values that a successor process would otherwise have to learn again from its own requests.
// Outcomes, budgets and in-flight counts are not handed over: each process keeps its own.
LearnedParts Policy::Core::learned_parts() const {
  LearnedParts parts{.limiter = limiter_.learned(),
                     .locality = locality_.learned(),
                     .p95_latency_ms = outliers_.p95_latency_ms(),
                     .class_mean_log_latency = {}};
  for (const auto& request_class : classes_.all)
    parts.class_mean_log_latency.push_back(request_class.mean_log_latency);
  return parts;
}

LearnedState Policy::Core::learned_state(double now_ms) const {
  LearnedState state;
  if (!limiter_.has_learned_tier()) return state;
  save(learned_parts(), state);
  for (EndpointIndex index : endpoints_.listed()) {
    double until_ms = outliers_.successor_ejection_until_ms(endpoints_[index], now_ms);
    if (until_ms > 0) save_ejection(index, until_ms, state);
  }
  return state;
}

void Policy::Core::restore(const LearnedState& state, double now_ms) {
  if (state.empty() || limiter_.has_any_sample()) return;
  auto parts = learned_parts();
  meadowgauge::restore(state, parts);
  limiter_.restore(parts.limiter);
  locality_.restore(parts.locality);
  outliers_.restore_p95_latency_ms(parts.p95_latency_ms);
  for (std::size_t i = 0; i < classes_.all.size(); ++i)
    classes_.all[i].mean_log_latency = parts.class_mean_log_latency[i];
  for (EndpointIndex index : endpoints_.listed()) {
    endpoints_[index].awaiting_first_outcome = false;
    auto until_ms = saved_ejection(state, index);
    if (until_ms && *until_ms > now_ms)
      OutlierDetector::restore_ejection(endpoints_[index], *until_ms, now_ms);
  }
}

}  // namespace meadowgauge
