#include "policy/concurrency_limiter.hpp"

#include <algorithm>
#include <cmath>

#include "policy/moving_average.hpp"

namespace meadowgauge {
namespace {

// Allowed latency.
constexpr double max_objective_share = 0.75;      // of the mean latency objective
constexpr double max_baseline_multiplier = 1.35;  // of the baseline latency

// Baseline latency.
constexpr double baseline_drift_ms = 60000;        // time constant with which it follows a slower tier
constexpr double max_drift_rejected_share = 0.05;  // above this share rejected it does not rise

// Moving averages.
constexpr double baseline_gain = 0.008;  // of one response, for what should not follow the load
constexpr double recent_gain = 0.04;     // of one response, for what should follow the load
constexpr int min_tier_responses = 20;   // responses before what is known of the tier counts
constexpr int min_class_responses = 5;   // responses before a class takes part in renormalization

// Burst allowance.
constexpr double burst_multiplier = 1.2;           // standard deviations of a Poisson count
constexpr double burst_overload_span_ratio = 0.8;  // overload ratio above 1 at which the allowance is used up
constexpr double burst_mean_from_ratio =
    0.75;  // mean in flight over U at which the allowance begins to shrink
constexpr double burst_mean_span_ratio = 0.5;       // and the width over which it shrinks to nothing
constexpr double busy_utilization_ratio = 0.8;      // above it one of many balancers has the plain allowance
constexpr double max_own_deviation_multiplier = 3;  // of the plain allowance, for one of many balancers
constexpr double few_replicas_count = 3;  // balancers up to which a balancer's own burst is the tier's

// Uncongested number in flight.
constexpr double uncongested_requests = 2;       // requests per endpoint and remaining tier, all balancers
constexpr double spare_utilization_ratio = 0.6;  // below it the number grows
constexpr double max_spare_capacity_multiplier = 2;  // up to this

constexpr double max_report_queue_share = 0.5;  // of the latency objective, as reports are old and incomplete
constexpr double min_timely_share = 0.05;       // lower bound of the share
constexpr double min_latency_ms = 0.01;         // lower bound of a latency

// Capacity that requests give up while capacity is short.
constexpr double over_quota_cut_share = 0.5;     // beyond the tenant's quota and share
constexpr double low_weight_cut_share = 0.25;    // of a class with less weight for its latency than another
constexpr double low_weight_margin_ratio = 1.2;  // another class must have more by this ratio
constexpr double cut_rejected_share = 0.2;       // cuts begin at this share rejected and are full at twice it

}  // namespace

double ConcurrencyLimiter::uncongested_per_endpoint(const PolicySettings& settings) {
  return uncongested_requests * (settings.stage_count - settings.stage);
}

double ConcurrencyLimiter::spare_utilization() { return spare_utilization_ratio; }

bool ConcurrencyLimiter::applies_to(const Request& request) const {
  return settings_.stage == 0 && request.attempt_count == 0;
}

bool ConcurrencyLimiter::has_count_signal(double ready_endpoints) const {
  if (load_.uses_probes()) return false;
  if (!load_.uses_load_reports()) return true;
  return uncongested_requests * ready_endpoints * remaining_tiers_ >= settings_.replicas;
}

// Whether another class has clearly more priority weight for its latency. What is rejected anyway should be
// what weighs least for the time it takes.
bool ConcurrencyLimiter::yields_capacity(const Request& request) const {
  auto weight_for_latency = [this](const RequestClass& request_class) {
    double latency =
        request_class.response_count > 0 ? request_class.relative_latency : mean_relative_latency_;
    return request_class.settings.priority_weight / latency;
  };
  double margin = low_weight_margin_ratio * weight_for_latency(classes_.of(request));
  return std::ranges::any_of(classes_.all,
                             [&](const auto& other) { return weight_for_latency(other) > margin; });
}

// The share of the limits that holds for this request: 1, less while capacity is short for requests over
// their tenant's quota and for classes that yield capacity.
//
//   shortage = (rejected_share - 0.2) / 0.2, within 0 and 1
//   share    = 1 - shortage * (over-quota cut + low-weight cut)
double ConcurrencyLimiter::capacity_share(const Request& request) const {
  double shortage = std::clamp((rejected_share_ - cut_rejected_share) / cut_rejected_share, 0.0, 1.0);
  double quota_cut = request.over_quota ? over_quota_cut_share : 0;
  return 1 - shortage * (quota_cut + (yields_capacity(request) ? low_weight_cut_share : 0));
}

void ConcurrencyLimiter::record_arrival() {
  double gain = std::max(recent_gain, 1.0 / static_cast<double>(++arrival_count_));
  learned_.mean_in_flight += gain * (endpoints_.total_in_flight() - learned_.mean_in_flight);
}

// U, the number in flight that never congests the tier. A request occupies its endpoint while the tiers below
// work on it, so U grows with the tiers that remain. Spare utilization raises it up to twofold.
double ConcurrencyLimiter::uncongested_in_flight(double ready_endpoints, double capacity_share) const {
  double in_flight =
      ready_endpoints * capacity_share * uncongested_requests * remaining_tiers_ / settings_.replicas;
  if (learned_.utilization > 0) {
    double spare = spare_utilization_ratio / learned_.utilization;
    in_flight *= std::clamp(spare, 1.0, max_spare_capacity_multiplier);
  }
  return in_flight;
}

// Latency up to which the tier is not overloaded: 1.35 baselines, at most 0.75 of the mean latency objective.
// One bound holds for all classes: against its own objective a short class would look late while the others
// are as usual. A smaller capacity share lowers the delay above the baseline, by its square; a cut of the
// in-flight number would be permanent, since that number follows what is admitted.
double ConcurrencyLimiter::allowed_latency_ms(double capacity_share) const {
  double delay_multiplier = 1 + (max_baseline_multiplier - 1) * capacity_share * capacity_share;
  return std::min(max_objective_share * recent_objective_ms_, delay_multiplier * learned_.baseline_ms);
}

// r: recent over allowed latency. Timeouts raise it, since their latency is never seen. 0 without a baseline.
double ConcurrencyLimiter::overload_ratio(double capacity_share) const {
  if (!(learned_.baseline_ms > 0)) return 0;
  return learned_.recent_ms / allowed_latency_ms(capacity_share) / learned_.timely_share;
}

// The burst allowance left by the mean number in flight, in standard deviations. Small balancers' bursts add
// up, so a mean near U leaves none.
double ConcurrencyLimiter::burst_multiplier_for_mean(double uncongested_in_flight) const {
  double mean_ratio = learned_.mean_in_flight / uncongested_in_flight;
  double used = std::clamp((mean_ratio - burst_mean_from_ratio) / burst_mean_span_ratio, 0.0, 1.0);
  return burst_multiplier * (1 - used);
}

// m: how many times the burst allowance one of many balancers may use while the tier has capacity. Its own
// deviations are larger than the tier's by sqrt(replicas), which averages them out.
double ConcurrencyLimiter::own_deviation_multiplier() const {
  if (!(learned_.utilization > 0)) return 1;
  double by_replicas = std::sqrt(std::max(1.0, settings_.replicas / few_replicas_count));
  double by_utilization = busy_utilization_ratio / learned_.utilization;
  return std::clamp(by_utilization, 1.0, std::min(by_replicas, max_own_deviation_multiplier));
}

// Rejects a request when the number in flight exceeds both limits of the class comment. Until the baseline is
// known, only the uncongested limit applies: a start into an overload must not learn the overload's
// latencies.
bool ConcurrencyLimiter::is_tier_full(const Request& request, double ready_endpoints) {
  record_arrival();
  double in_flight = endpoints_.total_in_flight();
  double share = capacity_share(request);
  double uncongested = uncongested_in_flight(ready_endpoints, share);
  double overload = overload_ratio(share);
  double burst_used = std::clamp((overload - 1) / burst_overload_span_ratio, 0.0, 1.0);
  double burst = burst_multiplier * (1 - burst_used);
  double uncongested_burst = std::min(burst, burst_multiplier_for_mean(uncongested));
  if (in_flight < uncongested + uncongested_burst * std::sqrt(uncongested)) return false;
  if (learned_.baseline_ms == 0) return true;
  double recent = learned_.recent_in_flight;
  double latency_limit = recent / overload + own_deviation_multiplier() * burst * std::sqrt(recent);
  bool fits = in_flight + 1 <= latency_limit;
  return !fits;
}

bool ConcurrencyLimiter::is_full_by_report(const Request& request, const Endpoint& endpoint,
                                           double now_ms) const {
  double objective_ms = classes_.of(request).settings.target_ms;
  return load_.queue_ms(endpoint, now_ms) > capacity_share(request) * max_report_queue_share * objective_ms;
}

bool ConcurrencyLimiter::is_full_by_probe(const Request& request, const Endpoint& endpoint,
                                          double now_ms) const {
  double capacity_fraction = slow_start_.capacity_fraction(endpoint, now_ms);
  return load_.predicted_ms(request, endpoint, capacity_fraction) >
         capacity_share(request) * classes_.of(request).settings.target_ms;
}

void ConcurrencyLimiter::record_decision(bool rejected) {
  rejected_share_ += baseline_gain * ((rejected ? 1 : 0) - rejected_share_);
}

void ConcurrencyLimiter::record_timely(bool in_time) {
  double share = learned_.timely_share + recent_gain * ((in_time ? 1 : 0) - learned_.timely_share);
  learned_.timely_share = std::max(min_timely_share, share);
}

void ConcurrencyLimiter::record_duration(const Attempt& attempt, RequestClass& request_class, double took_ms,
                                         double now_ms) {
  // Within one latency objective of the start only short requests have completed: their mean is biased low.
  if (now_ms - started_at_ms_ <= request_class.settings.target_ms) return;
  double slow_gain = std::max(baseline_gain, 1.0 / ++response_count_);
  double fast_gain = std::max(recent_gain, slow_gain);
  double relative_latency = update_relative_latency(request_class, took_ms);
  blend(learned_.mean_ms, took_ms / relative_latency, slow_gain);
  blend(learned_.recent_ms, took_ms / relative_latency, fast_gain);
  blend(recent_objective_ms_, request_class.settings.target_ms / relative_latency, fast_gain);
  blend(mean_relative_latency_, relative_latency, slow_gain);
  blend(learned_.recent_in_flight, attempt.in_flight_at_send, fast_gain);
}

// Moves the class's latency relative to the tier's towards this response's; returns the new value. A slowdown
// that all classes share must not enter it, or an overload would become usual: renormalization takes the
// common part out again.
double ConcurrencyLimiter::update_relative_latency(RequestClass& request_class, double took_ms) {
  if (learned_.recent_ms == 0 || classes_.all.size() < 2) return request_class.relative_latency;
  double ratio = std::max(took_ms, min_latency_ms) / learned_.recent_ms / request_class.relative_latency;
  double gain = std::max(baseline_gain, 1.0 / ++request_class.response_count);
  double factor = 1 + gain * (ratio - 1);
  request_class.relative_latency *= factor;
  if (request_class.response_count > min_class_responses) renormalize_relative_latencies(factor);
  return request_class.relative_latency;
}

// Divides all known classes by the geometric mean of a change by `factor` of one of them.
void ConcurrencyLimiter::renormalize_relative_latencies(double factor) {
  double known_classes = 0;
  for (const auto& request_class : classes_.all)
    if (request_class.response_count > min_class_responses) known_classes += 1;
  for (auto& request_class : classes_.all)
    if (request_class.response_count > min_class_responses)
      request_class.relative_latency /= std::pow(factor, 1 / known_classes);
}

void ConcurrencyLimiter::record_utilization(double utilization) {
  blend(learned_.utilization, utilization, recent_gain);
}

// The baseline is the smallest mean latency so far. It drifts up towards the mean while hardly anything is
// rejected, and stays where it is otherwise, so that an overload does not become the baseline.
void ConcurrencyLimiter::tick(double interval_ms) {
  if (!has_learned_tier()) return;
  auto& learned = learned_;
  if (learned.baseline_ms == 0 || learned.mean_ms < learned.baseline_ms) {
    learned.baseline_ms = learned.mean_ms;
  } else if (rejected_share_ < max_drift_rejected_share) {
    learned.baseline_ms += (learned.mean_ms - learned.baseline_ms) * interval_ms / baseline_drift_ms;
  }
}

bool ConcurrencyLimiter::has_learned_tier() const { return response_count_ >= min_tier_responses; }

bool ConcurrencyLimiter::has_learned(const RequestClass& request_class) {
  return request_class.response_count >= min_tier_responses;
}

void ConcurrencyLimiter::restore(const Learned& learned) {
  learned_ = learned;
  response_count_ = min_tier_responses;
  arrival_count_ = min_tier_responses;
}

}  // namespace meadowgauge
