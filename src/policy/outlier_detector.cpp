#include "policy/outlier_detector.hpp"

#include <algorithm>
#include <cmath>

#include "policy/moving_average.hpp"

namespace meadowgauge {
namespace {

constexpr double outcome_decay_ms = 5000;  // time constant of the decay of outcomes

// Ejection threshold.
constexpr double failure_margin_share = 0.12;       // added to the peers' weighted failure share
constexpr double peers_failure_multiplier = 1.5;    // weight of the peers' failure share
constexpr double peers_prior_failures_count = 0.2;  // added to the peers' failures, which may be none yet
constexpr double peers_prior_outcomes_count = 1;    // added to their other outcomes, likewise

// Duration of an ejection.
constexpr double first_ejection_ms = 1000;
constexpr double max_ejection_ms = 8000;
constexpr double min_ejection_jitter_ratio = 0.8;    // shortest jittered duration / duration
constexpr double ejection_jitter_range_ratio = 0.4;  // (longest - shortest jittered duration) / duration
constexpr int max_counted_ejections = 8;             // highest count of consecutive ejections
constexpr double ejection_count_reset_ms = 10000;    // healthy time that resets the count of ejections
constexpr double successor_ejection_ms = 4 * first_ejection_ms;  // minimum in a successor process

// Unresponsive endpoints.
constexpr double min_unresponsive_ms = 400;
constexpr double unresponsive_multiplier = 4;  // silence / 95th percentile, at one request in flight

// 95th percentile.
constexpr double p95_step_ratio = 0.02;  // step of the estimate / estimate
constexpr double p95_odds_ratio = 19;    // responses below the percentile for each one above

// Latency relative to peers.
constexpr double server_kind_gain = 0.02;        // weight of one response in the server kind's mean
constexpr double class_latency_gain = 0.02;      // weight of one response in the request class's mean
constexpr double server_kind_prior_samples = 2;  // weight of the server kind's mean, in responses

// Reports to other balancers.
constexpr double report_decay_ms = 4000;  // time constant of the decay of a report
// Weight of one outcome. The report of one failure at a single balancer ejects for under two seconds.
constexpr double report_gain = 0.4;
constexpr double max_reported_failure_share = 0.25;  // at this share and above, an endpoint is not picked

}  // namespace

EjectionState OutlierDetector::state(const Endpoint& endpoint, double now_ms) {
  const auto& outlier = endpoint.outlier;
  if (!outlier.ejected_or_half_open) return EjectionState::healthy;
  return outlier.ejected_until_ms > now_ms ? EjectionState::ejected : EjectionState::half_open;
}

void OutlierDetector::decay(Endpoint& endpoint, double now_ms) {
  auto& outlier = endpoint.outlier;
  double decay_factor = std::exp((outlier.decayed_at_ms - now_ms) / outcome_decay_ms);
  outlier.successes *= decay_factor;
  outlier.failures *= decay_factor;
  outlier.log_latency_excess_sum *= decay_factor;
  outlier.latency_samples *= decay_factor;
  outlier.decayed_at_ms = now_ms;
}

double OutlierDetector::peers_failure_share(EndpointIndex index, double now_ms) {
  double successes = 0;
  double failures = peers_prior_failures_count;
  for (EndpointIndex peer : endpoints_.listed()) {
    if (peer == index) continue;
    decay(endpoints_[peer], now_ms);
    successes += endpoints_[peer].outlier.successes;
    failures += endpoints_[peer].outlier.failures;
  }
  return failures / (successes + failures + peers_prior_outcomes_count);
}

void OutlierDetector::record_outcome(EndpointIndex index, bool failed, double now_ms) {
  decay(endpoints_[index], now_ms);
  if (failed) {
    record_failure(index, now_ms);
  } else {
    record_success(endpoints_[index].outlier, now_ms);
  }
}

void OutlierDetector::record_success(OutlierState& outlier, double now_ms) {
  ++outlier.successes;
  if (outlier.ejected_or_half_open) {
    outlier.ejected_or_half_open = false;
    outlier.successes = 1;
    outlier.failures = 0;
    outlier.healthy_since_ms = now_ms;
  }
  if (outlier.ejections > 0 && now_ms - outlier.healthy_since_ms > ejection_count_reset_ms)
    outlier.ejections = 0;
}

void OutlierDetector::record_failure(EndpointIndex index, double now_ms) {
  auto& outlier = endpoints_[index].outlier;
  ++outlier.failures;
  double peers_share = peers_failure_share(index, now_ms);
  double share = outlier.failures / (outlier.failures + outlier.successes);
  bool is_outlier = share > failure_margin_share + peers_failure_multiplier * peers_share;
  if (outlier.ejected_until_ms <= now_ms && (outlier.ejected_or_half_open || is_outlier))
    eject(index, share, peers_share, now_ms);
}

void OutlierDetector::eject(EndpointIndex index, double failure_share, double peers_failure_share,
                            double now_ms) {
  auto& outlier = endpoints_[index].outlier;
  double duration_ms = std::min(max_ejection_ms, first_ejection_ms * std::exp2(outlier.ejections));
  double jitter_ratio = min_ejection_jitter_ratio + ejection_jitter_range_ratio * random_.uniform();
  outlier.ejected_until_ms = now_ms + duration_ms * jitter_ratio;
  outlier.ejections = std::min(outlier.ejections + 1, max_counted_ejections);
  outlier.ejected_or_half_open = true;
  outlier.successes = 0;
  outlier.failures = 0;
  outlier.log_latency_excess_sum = 0;
  outlier.latency_samples = 0;
  if (outlier.ejections > 1) return;
  events_.emplace_back(EndpointEjected{
      .endpoint = index, .failure_share = failure_share, .peers_failure_share = peers_failure_share});
}

// Streaming estimate of the 95th percentile by stochastic approximation: a latency below the estimate moves
// it one step down, a latency above it 19 steps up. It settles where one latency in twenty is above.
void OutlierDetector::record_duration(double took_ms, double now_ms) {
  last_answer_at_ms_ = now_ms;
  if (p95_latency_ms_ == 0) {
    p95_latency_ms_ = took_ms * 2;
    return;
  }
  double step_ms = std::max(1.0, p95_latency_ms_ * p95_step_ratio);
  double change_ms = took_ms > p95_latency_ms_ ? step_ms * p95_odds_ratio : -step_ms;
  p95_latency_ms_ = std::max(1.0, p95_latency_ms_ + change_ms);
}

// Computes the excess of the log latency, scaled to an endpoint of mean weight, over the request class's
// mean, and adds it to the endpoint and to its server kind. In a large tier a single endpoint has too few
// samples, so the server kind's mean is used as a prior.
void OutlierDetector::record_relative_latency(Endpoint& endpoint, RequestClass& request_class,
                                              double took_ms) {
  double log_latency = std::log(std::max(1.0, took_ms) * endpoint.weight / endpoints_.mean_weight());
  double excess = request_class.mean_log_latency > 0 ? log_latency - request_class.mean_log_latency : 0;
  update_average(request_class.mean_log_latency, log_latency, class_latency_gain);
  endpoint.outlier.log_latency_excess_sum += excess;
  endpoint.outlier.latency_samples += 1;
  auto& kind_excess = server_kind_excess_[static_cast<std::size_t>(endpoint.server_kind)];
  kind_excess += server_kind_gain * (excess - kind_excess);
}

void OutlierDetector::record_for_report(Endpoint& endpoint, bool failed, bool overloaded, double now_ms) {
  auto& share = endpoint.outlier.failure_share;
  share = reported_failure_share(endpoint, now_ms);
  if (!overloaded) share += report_gain * ((failed ? 1 : 0) - share);
}

bool OutlierDetector::is_unresponsive(const Endpoint& endpoint, double now_ms) const {
  if (endpoint.in_flight <= 0) return false;
  double silence_ms = now_ms - endpoint.last_activity_at_ms;
  double multiplier = 1 + (unresponsive_multiplier - 1) / endpoint.in_flight;
  bool is_silent = silence_ms > std::max(min_unresponsive_ms, multiplier * p95_latency_ms_);
  bool others_have_answered = now_ms - last_answer_at_ms_ < silence_ms / 2;
  return is_silent && others_have_answered;
}

double OutlierDetector::reported_failure_share(const Endpoint& endpoint, double now_ms) {
  double decay_factor = std::exp((endpoint.load.reported_at_ms - now_ms) / report_decay_ms);
  return endpoint.outlier.failure_share * decay_factor;
}

bool OutlierDetector::is_healthy(const Endpoint& endpoint, double now_ms) const {
  bool has_low_reported_share = reported_failure_share(endpoint, now_ms) < max_reported_failure_share;
  if (!has_low_reported_share) return false;
  auto ejection = state(endpoint, now_ms);
  if (ejection == EjectionState::ejected) return false;
  if (ejection == EjectionState::half_open && endpoint.in_flight > 0) return false;
  return !is_unresponsive(endpoint, now_ms);
}

// exp(-mean log latency excess), where the mean is over the endpoint's own responses and the prior from its
// server kind.
double OutlierDetector::speed_factor(const Endpoint& endpoint) const {
  const auto& outlier = endpoint.outlier;
  double kind_excess = server_kind_excess_[static_cast<std::size_t>(endpoint.server_kind)];
  double excess = outlier.log_latency_excess_sum + server_kind_prior_samples * kind_excess;
  return std::exp(-excess / (outlier.latency_samples + server_kind_prior_samples));
}

double OutlierDetector::report_lifetime_ms(const Endpoint& endpoint, double normally_ms) {
  bool is_failing = endpoint.outlier.failure_share > max_reported_failure_share;
  return normally_ms + (is_failing ? report_decay_ms : 0);
}

// Covers unresponsive endpoints too: a successor does not know what they have in flight, and would take them
// for idle.
double OutlierDetector::successor_ejection_until_ms(const Endpoint& endpoint, double now_ms) const {
  if (!is_ejected(endpoint, now_ms) && !is_unresponsive(endpoint, now_ms)) return 0;
  return std::max(endpoint.outlier.ejected_until_ms, now_ms + successor_ejection_ms);
}

void OutlierDetector::restore_ejection(Endpoint& endpoint, double until_ms, double now_ms) {
  endpoint.outlier.ejected_until_ms = std::min(until_ms, now_ms + max_ejection_ms);
  endpoint.outlier.ejected_or_half_open = true;
  endpoint.outlier.ejections = 1;
}

}  // namespace meadowgauge
