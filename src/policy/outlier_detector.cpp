#include "policy/outlier_detector.hpp"

#include <algorithm>
#include <cmath>

#include "policy/moving_average.hpp"

namespace meadowgauge {

constexpr double evidence_ms = 5000;  // outcomes fade over this time

// An endpoint is ejected whose failing share is above the margin plus so many times its peers'.
constexpr double failing_margin = 0.12, failing_times = 1.5;
constexpr double peers_prior_failures = 0.2, peers_prior = 1;  // peers without outcomes fail a little
// The first ejection; doubles with each relapse, up to the longest.
constexpr double ejection_ms = 1000, longest_ejection_ms = 8000;
constexpr double shortest_spread = 0.8, spread = 0.4;  // so that balancers don't try it all at once
constexpr int most_ejections = 8;  // that are counted; forgotten when well for the time below
constexpr double forgiven_ms = 10000;
constexpr double handed_over_ejection_ms = 4 * ejection_ms;  // of what a successor is told

constexpr double silence_floor_ms = 400, silence_factor = 4;  // times the slow end, with one request out
constexpr double slow_end_step = 0.02, slow_end_odds = 19;    // the time that 1 in 20 takes longer than

constexpr double kind_gain = 0.02, pace_gain = 0.02, slowness_prior = 2;  // outcomes' worth of uncertainty

// What balancers tell each other: one voice keeps an endpoint out for under two seconds.
constexpr double report_decay_ms = 4000;
constexpr double report_gain = 0.4, failing_report = 0.25;  // of one outcome; from there on it is passed over

void OutlierDetector::decay(Endpoint& endpoint, double now_ms) {
  auto& o = endpoint.outlier;
  double left = std::exp((o.decayed_at_ms - now_ms) / evidence_ms);
  for (double* sum : {&o.successes, &o.failures, &o.log_latency_excess, &o.latency_samples}) *sum *= left;
  o.decayed_at_ms = now_ms;
}

double OutlierDetector::peers_failure_share(EndpointIndex index, double now_ms) {
  double successes = 0, failures = peers_prior_failures;
  for (EndpointIndex i : endpoints_.listed) {
    if (i == index) continue;
    decay(endpoints_[i], now_ms);
    successes += endpoints_[i].outlier.successes;
    failures += endpoints_[i].outlier.failures;
  }
  return failures / (successes + failures + peers_prior);
}

void OutlierDetector::record_outcome(EndpointIndex index, bool failed, double now_ms) {
  auto& o = endpoints_[index].outlier;
  decay(endpoints_[index], now_ms);
  ++(failed ? o.failures : o.successes);
  if (!failed) {
    if (o.on_trial) {
      o.on_trial = false;
      o.successes = 1;
      o.failures = 0;
      o.healthy_since_ms = now_ms;
    }
    if (o.ejections > 0 && now_ms - o.healthy_since_ms > forgiven_ms) o.ejections = 0;
    return;
  }
  double peers = peers_failure_share(index, now_ms);
  double share = o.failures / (o.failures + o.successes);
  // One bad server is not a tier without capacity: it leaves the picks and its outcomes leave the throttle.
  if (o.ejected_until_ms <= now_ms && (o.on_trial || share > failing_margin + failing_times * peers))
    eject(endpoints_[index], now_ms);
}

void OutlierDetector::eject(Endpoint& endpoint, double now_ms) {
  auto& o = endpoint.outlier;
  double length = std::min(longest_ejection_ms, ejection_ms * std::exp2(o.ejections));
  o.ejected_until_ms = now_ms + length * (shortest_spread + spread * random_.uniform());
  o.ejections = std::min(o.ejections + 1, most_ejections);
  o.on_trial = true;
  o.successes = o.failures = o.log_latency_excess = o.latency_samples = 0;
  if (o.ejections == 1) log_lines_.emplace_back("benched a server that fails more than its peers");
}

void OutlierDetector::record_duration(double took_ms, double now_ms) {
  last_answer_at_ms_ = now_ms;
  double step = std::max(1.0, p95_latency_ms_ * slow_end_step);
  double moved_ms = p95_latency_ms_ + (took_ms > p95_latency_ms_ ? step * slow_end_odds : -step);
  p95_latency_ms_ = p95_latency_ms_ == 0 ? took_ms * 2 : std::max(1.0, moved_ms);
}

// At size most servers are met too seldom to tell; what their kind has shown stands in.
void OutlierDetector::record_relative_latency(Endpoint& endpoint, RequestClass& request_class,
                                              double took_ms) {
  double log_ms = std::log(std::max(1.0, took_ms) * endpoint.weight / endpoints_.mean_weight);
  double excess = request_class.mean_log_latency > 0 ? log_ms - request_class.mean_log_latency : 0;
  blend(request_class.mean_log_latency, log_ms, pace_gain);
  endpoint.outlier.log_latency_excess += excess;
  endpoint.outlier.latency_samples += 1;
  auto& kind = kind_slowness_[static_cast<std::size_t>(endpoint.server_kind)];
  kind += kind_gain * (excess - kind);
}

void OutlierDetector::record_for_report(Endpoint& endpoint, bool failed, bool overloaded,
                                        double now_ms) const {
  auto& share = endpoint.outlier.failure_share;
  share = failure_share(endpoint, now_ms);
  if (!overloaded) share += report_gain * (failed - share);
}

// The more is out, the less time chance needs to be ruled out: a server that swallowed many requests was
// still given more until the first timed out.
bool OutlierDetector::unresponsive(const Endpoint& endpoint, double now_ms) const {
  double quiet = now_ms - endpoint.last_sign_at_ms;
  double factor = 1 + (silence_factor - 1) / std::max(1, endpoint.in_flight);
  return endpoint.in_flight > 0 && quiet > std::max(silence_floor_ms, factor * p95_latency_ms_) &&
         now_ms - last_answer_at_ms_ < quiet / 2;
}

double OutlierDetector::failure_share(const Endpoint& endpoint, double now_ms) {
  return endpoint.outlier.failure_share * std::exp((endpoint.load.reported_at_ms - now_ms) / report_decay_ms);
}

bool OutlierDetector::is_healthy(const Endpoint& endpoint, double now_ms) const {
  return failure_share(endpoint, now_ms) < failing_report && !ejected(endpoint, now_ms) &&
         !(endpoint.outlier.on_trial && endpoint.in_flight > 0) && !unresponsive(endpoint, now_ms);
}

double OutlierDetector::speed_factor(const Endpoint& endpoint) const {
  const auto& o = endpoint.outlier;
  double kind = kind_slowness_[static_cast<std::size_t>(endpoint.server_kind)];
  return std::exp(-(o.log_latency_excess + slowness_prior * kind) / (o.latency_samples + slowness_prior));
}

double OutlierDetector::report_lasts_ms(const Endpoint& endpoint, double normally_ms) const {
  return normally_ms + (endpoint.outlier.failure_share > failing_report ? report_decay_ms : 0);
}

// What a silent one holds is not the successor's, to whom it would look idle: a trial settles it.
double OutlierDetector::ejected_for_successor(const Endpoint& endpoint, double now_ms) const {
  if (!ejected(endpoint, now_ms) && !unresponsive(endpoint, now_ms)) return 0;
  return std::max(endpoint.outlier.ejected_until_ms, now_ms + handed_over_ejection_ms);
}

void OutlierDetector::restore_ejection(Endpoint& endpoint, double until, double now_ms) const {
  endpoint.outlier.ejected_until_ms = std::min(until, now_ms + longest_ejection_ms);
  endpoint.outlier.on_trial = true;
  endpoint.outlier.ejections = 1;
}

}  // namespace meadowgauge
