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
constexpr double baseline_drift_ms = 60000;        // time constant of the rise when the tier gets slower
constexpr double max_drift_rejected_share = 0.05;  // the baseline does not rise above this share rejected

// Moving averages.
constexpr double baseline_gain = 0.008;  // weight of one response, for values that should not follow the load
constexpr double recent_gain = 0.04;     // weight of one response, for values that should follow the load
constexpr int min_tier_responses = 20;   // responses before the tier's learned values are used
constexpr int min_class_responses = 5;   // responses before a class takes part in renormalization

// Burst allowance.
constexpr double burst_multiplier = 1.2;           // standard deviations of a Poisson count
constexpr double burst_overload_span_ratio = 0.8;  // overload ratio - 1 at which the allowance reaches 0
constexpr double burst_mean_start_ratio = 0.75;  // mean in flight / U at which the allowance begins to shrink
constexpr double burst_mean_span_ratio = 0.5;    // further increase of that ratio that shrinks it to 0
constexpr double busy_utilization_ratio = 0.8;   // above it the allowance is not multiplied
constexpr double max_own_deviation_multiplier = 3;  // of the burst allowance, for one of many balancers
constexpr double few_replicas = 3;  // up to this many balancers, a burst at one is a burst of the tier

// Uncongested number in flight.
constexpr double uncongested_requests = 2;       // requests per endpoint and remaining tier, all balancers
constexpr double spare_utilization_ratio = 0.6;  // below it U grows
constexpr double max_spare_capacity_multiplier = 2;  // upper bound of the factor on U

constexpr double max_report_queue_share = 0.5;  // of the latency objective; reports are old and incomplete
constexpr double min_timely_share = 0.05;       // lower bound of the share of attempts that did not time out
constexpr double min_latency_ms = 0.01;         // lower bound of a latency

// Reductions of the limits for some requests during a capacity shortage.
constexpr double over_quota_cut_share = 0.5;   // for a request beyond its tenant's quota and share
constexpr double low_weight_cut_share = 0.25;  // for a class with less weight per latency than another class
constexpr double low_weight_margin_ratio = 1.2;  // the other class must have more by this ratio
constexpr double cut_rejected_share = 0.2;  // reductions begin at this share rejected, complete at twice it

}  // namespace

double ConcurrencyLimiter::uncongested_per_endpoint(const PolicySettings& settings) {
  return uncongested_requests * (settings.stage_count - settings.stage);
}

double ConcurrencyLimiter::spare_utilization() { return spare_utilization_ratio; }

bool ConcurrencyLimiter::applies_to(const Request& request) const {
  return settings_.stage == 0 && request.attempt_count == 0;
}

bool ConcurrencyLimiter::can_limit_by_in_flight(double ready_endpoints) const {
  if (load_.uses_probes()) return false;
  if (!load_.uses_load_reports()) return true;
  return uncongested_requests * ready_endpoints * remaining_tiers_ >= settings_.replicas;
}

// Whether another class has clearly more priority weight per latency than the request's class. In a shortage
// the requests with the least weight for the time they take should be rejected first.
bool ConcurrencyLimiter::has_low_weight_for_latency(const Request& request) const {
  auto weight_for_latency = [this](const RequestClass& request_class) {
    double latency =
        request_class.response_count > 0 ? request_class.relative_latency : mean_relative_latency_;
    return request_class.settings.priority_weight / latency;
  };
  double margin = low_weight_margin_ratio * weight_for_latency(classes_.of(request));
  return std::ranges::any_of(classes_.all,
                             [&](const auto& other) { return weight_for_latency(other) > margin; });
}

// The factor that lowers the limits for this request: 1 without a capacity shortage; less during a shortage
// for requests over their tenant's quota and for classes of low priority weight per latency.
//
//   shortage = (rejected_share - 0.2) / 0.2, clamped to 0..1
//   share    = 1 - shortage * (over-quota cut + low-weight cut)
double ConcurrencyLimiter::capacity_share(const Request& request) const {
  double shortage = std::clamp((rejected_share_ - cut_rejected_share) / cut_rejected_share, 0.0, 1.0);
  double quota_cut = request.over_quota ? over_quota_cut_share : 0;
  return 1 - shortage * (quota_cut + (has_low_weight_for_latency(request) ? low_weight_cut_share : 0));
}

void ConcurrencyLimiter::record_arrival() {
  double gain = std::max(recent_gain, 1.0 / static_cast<double>(++arrival_count_));
  learned_.mean_in_flight += gain * (endpoints_.total_in_flight() - learned_.mean_in_flight);
}

// U, the number of requests in flight that never congests the tier. A request occupies its endpoint while the
// deeper tiers work on it, so U is proportional to the number of remaining tiers. A reported utilization
// below 0.6 raises U by up to a factor of two.
double ConcurrencyLimiter::uncongested_in_flight(double ready_endpoints, double capacity_share) const {
  double in_flight =
      ready_endpoints * capacity_share * uncongested_requests * remaining_tiers_ / settings_.replicas;
  if (learned_.utilization > 0) {
    double spare = spare_utilization_ratio / learned_.utilization;
    in_flight *= std::clamp(spare, 1.0, max_spare_capacity_multiplier);
  }
  return in_flight;
}

// Latency in ms up to which the tier is not overloaded:
//
//   min(0.75 * mean latency objective, (1 + 0.35 * capacity_share^2) * baseline latency)
//
// The bound is the same for all classes: measured against its own objective, a short class would look late
// under normal load. The capacity share lowers the allowed latency rather than the in-flight number: lowering
// the number would be permanent, since N follows the number of admitted requests.
double ConcurrencyLimiter::allowed_latency_ms(double capacity_share) const {
  double delay_multiplier = 1 + (max_baseline_multiplier - 1) * capacity_share * capacity_share;
  return std::min(max_objective_share * recent_objective_ms_, delay_multiplier * learned_.baseline_ms);
}

// r: recent latency / allowed latency / share of attempts that did not time out. The share accounts for the
// attempts that timed out, whose latency is never measured. Returns 0 while the baseline is unknown.
double ConcurrencyLimiter::overload_ratio(double capacity_share) const {
  if (!(learned_.baseline_ms > 0)) return 0;
  return learned_.recent_ms / allowed_latency_ms(capacity_share) / learned_.timely_share;
}

// bU: the burst allowance at the current mean number in flight, in standard deviations. It falls from 1.2 to
// 0 as the mean goes from 0.75 to 1.25 times U, since the bursts of many small balancers add up.
double ConcurrencyLimiter::burst_multiplier_for_mean(double uncongested_in_flight) const {
  double mean_ratio = learned_.mean_in_flight / uncongested_in_flight;
  double used = std::clamp((mean_ratio - burst_mean_start_ratio) / burst_mean_span_ratio, 0.0, 1.0);
  return burst_multiplier * (1 - used);
}

// m: multiplier of the burst allowance for one of many balancers while the tier has spare capacity. Relative
// to its mean, one balancer's load deviates by a factor of sqrt(replicas) more than the sum of all balancers.
double ConcurrencyLimiter::own_deviation_multiplier() const {
  if (!(learned_.utilization > 0)) return 1;
  double by_replicas = std::sqrt(std::max(1.0, settings_.replicas / few_replicas));
  double by_utilization = busy_utilization_ratio / learned_.utilization;
  return std::clamp(by_utilization, 1.0, std::min(by_replicas, max_own_deviation_multiplier));
}

// Returns true when the number in flight exceeds both limits of the class comment. While the baseline is
// unknown only the uncongested limit applies, so that a process started during an overload does not learn the
// overload's latencies as the baseline.
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
  double objective_ms = classes_.of(request).settings.latency_objective_ms;
  return load_.queue_ms(endpoint, now_ms) > capacity_share(request) * max_report_queue_share * objective_ms;
}

bool ConcurrencyLimiter::is_full_by_probe(const Request& request, const Endpoint& endpoint,
                                          double now_ms) const {
  double capacity_fraction = slow_start_.capacity_fraction(endpoint, now_ms);
  return load_.predicted_ms(request, endpoint, capacity_fraction) >
         capacity_share(request) * classes_.of(request).settings.latency_objective_ms;
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
  // Within one latency objective after the start only short requests have completed, which biases the mean
  // low.
  if (now_ms - started_at_ms_ <= request_class.settings.latency_objective_ms) return;
  double slow_gain = std::max(baseline_gain, 1.0 / ++response_count_);
  double fast_gain = std::max(recent_gain, slow_gain);
  double relative_latency = update_relative_latency(request_class, took_ms);
  update_average(learned_.mean_ms, took_ms / relative_latency, slow_gain);
  update_average(learned_.recent_ms, took_ms / relative_latency, fast_gain);
  update_average(recent_objective_ms_, request_class.settings.latency_objective_ms / relative_latency,
                 fast_gain);
  update_average(mean_relative_latency_, relative_latency, slow_gain);
  update_average(learned_.recent_in_flight, attempt.in_flight_at_send, fast_gain);
}

// Moves the class's relative latency (class latency / tier latency) towards that of this response; returns
// the new value. Renormalization removes a slowdown that all classes share, so that an overload does not
// become the normal latency.
double ConcurrencyLimiter::update_relative_latency(RequestClass& request_class, double took_ms) {
  if (learned_.recent_ms == 0 || classes_.all.size() < 2) return request_class.relative_latency;
  double ratio = std::max(took_ms, min_latency_ms) / learned_.recent_ms / request_class.relative_latency;
  double gain = std::max(baseline_gain, 1.0 / ++request_class.response_count);
  double factor = 1 + gain * (ratio - 1);
  request_class.relative_latency *= factor;
  if (request_class.response_count > min_class_responses) renormalize_relative_latencies(factor);
  return request_class.relative_latency;
}

// Divides the relative latency of every known class by factor^(1 / number of known classes), so that their
// geometric mean stays the same after one of them was multiplied by `factor`.
void ConcurrencyLimiter::renormalize_relative_latencies(double factor) {
  double known_classes = 0;
  for (const auto& request_class : classes_.all)
    if (request_class.response_count > min_class_responses) known_classes += 1;
  for (auto& request_class : classes_.all)
    if (request_class.response_count > min_class_responses)
      request_class.relative_latency /= std::pow(factor, 1 / known_classes);
}

void ConcurrencyLimiter::record_utilization(double utilization) {
  update_average(learned_.utilization, utilization, recent_gain);
}

// The baseline follows a falling mean latency at once. It drifts up towards a higher mean only while less
// than 5% of the requests are rejected, so that an overload does not become the baseline.
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
