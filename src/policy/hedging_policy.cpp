#include "policy/hedging_policy.hpp"

#include <algorithm>
#include <cmath>

namespace meadowgauge {
namespace {

constexpr double delay_multiplier = 1.5;      // of the 95th percentile, or of a short class's geometric mean
constexpr double min_outlier_delay_ms = 400;  // for classes that are not short
constexpr double max_short_share = 0.5;       // of the tier's mean latency; a class below it is short

}  // namespace

bool HedgingPolicy::may_hedge(const Request& request) const {
  return parts_.settings.hedging_enabled && request.attempt_count < 2 && !request.large_body &&
         parts_.classes.of(request).settings.repeatable();
}

bool HedgingPolicy::is_short(const Request& request) const {
  const auto& request_class = parts_.classes.of(request);
  return ConcurrencyLimiter::has_learned(request_class) &&
         request_class.relative_latency < max_short_share * parts_.limiter.mean_relative_latency();
}

bool HedgingPolicy::should_hedge(const Request& request, double now_ms) const {
  const auto& endpoint = parts_.endpoints[request.sent_attempts().back().endpoint];
  bool is_outlier =
      OutlierDetector::is_ejected(endpoint, now_ms) || parts_.outliers.is_unresponsive(endpoint, now_ms);
  return (is_short(request) || is_outlier) && parts_.retries.may_retry(Outcome::timeout, now_ms);
}

double HedgingPolicy::delay_ms(const Request& request) const {
  if (is_short(request)) return delay_multiplier * std::exp(parts_.classes.of(request).mean_log_latency);
  double outlier_delay_ms =
      std::max(min_outlier_delay_ms, delay_multiplier * parts_.outliers.p95_latency_ms());
  return outlier_delay_ms * request.attempt_count;
}

// A request of a short class is charged its class latency / mean latency, since only that much work is
// repeated; any other request is charged 1.
void HedgingPolicy::spend_budget(const Request& request) {
  double relative_cost = parts_.classes.of(request).relative_latency / parts_.limiter.mean_relative_latency();
  parts_.budget.spend(is_short(request) ? relative_cost : 1);
}

}  // namespace meadowgauge
