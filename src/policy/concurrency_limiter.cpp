#include "policy/concurrency_limiter.hpp"

#include <algorithm>
#include <cmath>

#include "policy/moving_average.hpp"

namespace meadowgauge {

// With so many of ours in flight that one more would be answered too late, the first tier is full to us.
constexpr double target_share = 0.75;        // of the target latency, at most
constexpr double baseline_times = 1.35;      // times the baseline
constexpr double baseline_drift_ms = 60000;  // how slowly the baseline follows a tier that grows slower
constexpr double baseline_hold = 0.05;       // share of requests rejected that holds the baseline
constexpr double slow_gain = 0.008, fast_gain = 0.04;         // the latter of what follows the load
constexpr int answers_needed = 20, class_answers_needed = 5;  // before the tier, a class is known
constexpr double chance_roots = 1.2;                          // what chance adds to a number, in its roots
constexpr double no_chance_over = 0.8;  // over the bound by this share, nothing is left to chance
// Of what is no overload: from there on the mean in flight uses up chance, and over this span.
constexpr double mean_from = 0.75, mean_span = 0.5;
constexpr double calm_util = 0.6, calm_util_most = 2;  // a tier less busy bears as much more, up to this
// Of many balancers each may pass so many times that chance, while the tier is less busy than this.
constexpr double chance_util = 0.8, chance_most = 3, chance_alone = 3;
constexpr double least_timely = 0.05, shortest_ms = 0.01;  // below which no more is told apart
// Requests per server and tier from there down, of all balancers, that are no overload.
constexpr double per_endpoint = 2;
constexpr double reports_share = 0.5;  // of the target, as reports are old and leave out much

// What makes way when there is too little: requests beyond quota and share, and classes that weigh less for
// the time they take. Whole when twice the share is rejected from which it grows.
constexpr double over_quota_cut = 0.5, low_weight_cut = 0.25;
constexpr double weight_margin = 1.2, cuts_from = 0.2;  // less by that margin

double ConcurrencyLimiter::uncrowded_per_endpoint(const PolicySettings& settings) {
  return per_endpoint * (settings.stage_count - settings.stage);
}
double ConcurrencyLimiter::calm_utilization() { return calm_util; }

bool ConcurrencyLimiter::applies_to(const Request& request) const {
  return settings_.stage == 0 && request.attempt_count == 0;
}

// A part of under a request measures nothing: there probes and reports of the endpoint picked say.
bool ConcurrencyLimiter::has_count_signal(double ready) const {
  return !load_.uses_probes() &&
         (!load_.uses_load_reports() || per_endpoint * ready * tiers_below_ >= settings_.replicas);
}

bool ConcurrencyLimiter::yields_capacity(const Request& request) const {
  auto worth = [this](const RequestClass& c) {
    return c.settings.priority_weight / (c.answers > 0 ? c.relative_latency : mean_relative_latency_);
  };
  double more = weight_margin * worth(classes_.of(request));
  return std::ranges::any_of(classes_.all, [&](const auto& c) { return worth(c) > more; });
}

// The part of the limits that holds for it: in an overload, and only then, some make way.
double ConcurrencyLimiter::share_for(const Request& request) const {
  double overload = std::clamp((rejected_ - cuts_from) / cuts_from, 0.0, 1.0);
  double quota_cut = request.over_quota ? over_quota_cut : 0;
  return 1 - overload * (quota_cut + (yields_capacity(request) ? low_weight_cut : 0));
}

// By Little's law: what is in flight now against what usually is, by the time that takes. Chance puts about a
// root on top of a number, which is little for the whole tier.
bool ConcurrencyLimiter::is_tier_full(const Request& request, double ready) {
  auto& l = learned_;
  double in_flight = endpoints_.total_in_flight;
  l.mean_in_flight +=
      std::max(fast_gain, 1.0 / static_cast<double>(++arrivals_)) * (in_flight - l.mean_in_flight);
  double share = share_for(request);
  // A request holds its server while the tiers below work, so the number that is no overload grows with them.
  // What small balancers may hold on top of it for chance adds up over them.
  double few = ready * share * per_endpoint * tiers_below_ / settings_.replicas;
  if (l.utilization > 0) few *= std::clamp(calm_util / l.utilization, 1.0, calm_util_most);
  // By the mean target: by its own a class of short ones looked late while the others were as usual. What
  // makes way does so at a smaller delay: cut off what is out, which follows what gets in, it never did so.
  double bound_ms =
      std::min(target_share * recent_target_ms_, (1 + (baseline_times - 1) * share * share) * l.baseline_ms);
  // Chance is left out once the tier looks overloaded. What is given up on never shows its time.
  double over = l.baseline_ms > 0 ? l.recent_ms / bound_ms / l.timely_share : 0;
  double chance = chance_roots * (1 - std::clamp((over - 1) / no_chance_over, 0.0, 1.0));
  double mean_full = std::clamp((l.mean_in_flight / few - mean_from) / mean_span, 0.0, 1.0);
  if (in_flight < few + std::min(chance, chance_roots * (1 - mean_full)) * std::sqrt(few)) return false;
  if (l.baseline_ms == 0) return true;
  // What chance puts on one of many it does not put on the tier: while that has time left, more passes.
  double of_many = std::sqrt(std::max(1.0, settings_.replicas / chance_alone));
  double wider = 1;
  if (l.utilization > 0) wider = std::clamp(chance_util / l.utilization, 1.0, std::min(of_many, chance_most));
  bool fits = in_flight + 1 <= l.recent_in_flight / over + wider * chance * std::sqrt(l.recent_in_flight);
  return !fits;
}

bool ConcurrencyLimiter::is_full_by_report(const Request& request, const Endpoint& endpoint,
                                           double now_ms) const {
  double target_ms = classes_.of(request).settings.target_ms;
  return load_.queue_ms(endpoint, now_ms) > share_for(request) * reports_share * target_ms;
}

bool ConcurrencyLimiter::is_full_by_probe(const Request& request, const Endpoint& endpoint,
                                          double now_ms) const {
  return load_.predicted_ms(request, endpoint, slow_start_.capacity_fraction(endpoint, now_ms)) >
         share_for(request) * classes_.of(request).settings.target_ms;
}

void ConcurrencyLimiter::record_decision(bool full) { rejected_ += slow_gain * (full - rejected_); }

void ConcurrencyLimiter::record_timely(bool in_time) {
  learned_.timely_share =
      std::max(least_timely, learned_.timely_share + fast_gain * (in_time - learned_.timely_share));
}

void ConcurrencyLimiter::record_duration(const Attempt& attempt, RequestClass& request_class, double took_ms,
                                         double now_ms) {
  // What ends early on was quick, for the long ones are still out: such times say nothing yet.
  if (now_ms - started_ <= request_class.settings.target_ms) return;
  double gain = std::max(slow_gain, 1.0 / ++answers_), recent_gain = std::max(fast_gain, gain);
  double usual = update_relative_latency(request_class, took_ms);
  blend(learned_.mean_ms, took_ms / usual, gain);
  blend(learned_.recent_ms, took_ms / usual, recent_gain);
  blend(recent_target_ms_, request_class.settings.target_ms / usual, recent_gain);
  blend(mean_relative_latency_, usual, gain);
  blend(learned_.recent_in_flight, attempt.in_flight_at_send, recent_gain);
}

// Times count in terms of their class, or another mix looks like a slower tier. What all have in common stays
// out of it: a start into overload passed for usual, and servers were overdriven.
double ConcurrencyLimiter::update_relative_latency(RequestClass& request_class, double took_ms) {
  double& usual = request_class.relative_latency;
  if (learned_.recent_ms == 0 || classes_.all.size() < 2) return usual;
  double ratio = std::max(took_ms, shortest_ms) / learned_.recent_ms / usual;
  double step = 1 + std::max(slow_gain, 1.0 / ++request_class.answers) * (ratio - 1);
  usual *= step;
  double known = 0;
  for (const auto& c : classes_.all) known += c.answers > class_answers_needed;
  if (request_class.answers > class_answers_needed)
    for (auto& c : classes_.all)
      if (c.answers > class_answers_needed) c.relative_latency /= std::pow(step, 1 / known);
  return usual;
}

void ConcurrencyLimiter::record_utilization(double value) { blend(learned_.utilization, value, fast_gain); }

// The baseline is the least that the mean has been; it stays under a load that the limit holds back.
void ConcurrencyLimiter::tick(double interval_ms) {
  if (!has_learned_tier()) return;
  auto& l = learned_;
  if (l.baseline_ms == 0 || l.mean_ms < l.baseline_ms)
    l.baseline_ms = l.mean_ms;
  else if (rejected_ < baseline_hold)
    l.baseline_ms += (l.mean_ms - l.baseline_ms) * interval_ms / baseline_drift_ms;
}

bool ConcurrencyLimiter::has_learned_tier() const { return answers_ >= answers_needed; }
bool ConcurrencyLimiter::has_learned(const RequestClass& c) { return c.answers >= answers_needed; }

void ConcurrencyLimiter::restore(const Learned& learned) {
  learned_ = learned;
  arrivals_ = answers_ = answers_needed;
}

}  // namespace meadowgauge
