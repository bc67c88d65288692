#include "proxy/upstream/idle_timeout_estimator.hpp"

#include <algorithm>
#include <vector>

namespace meadowgauge::proxy {

namespace {

// Of the configured idle timeout; the rest is for the way of a request that would cross the endpoint's close.
constexpr double usable_share = 0.8;
// A close counts for this long.
constexpr double closes_kept_ms = 10000;
constexpr std::size_t max_closes = 32;
// Younger connections were closed right behind a response: that tells nothing of an idle timeout.
constexpr double min_idle_ms = 50;
// Closes tell of a shorter idle timeout from this many on, of this many endpoints: one that dies closes all
// of its own at any age.
constexpr std::size_t min_closes = 5;
constexpr std::size_t min_endpoints = 3;
// Some closes never arrive. They are taken to begin at this share of the least age that was seen.
constexpr double unseen_close_share = 0.35;

}  // namespace

void IdleTimeoutEstimator::closed_by_endpoint(EndpointIndex endpoint, double idle_ms, double now_ms) {
  if (idle_ms < min_idle_ms) return;
  closes_.push_back({.at_ms = now_ms, .idle_ms = idle_ms, .endpoint = endpoint});
  if (closes_.size() > max_closes) closes_.pop_front();
}

// A connection that was closed without a word is reset by the next request written to it, and a
// non-idempotent one is lost.
double IdleTimeoutEstimator::usable_ms(double now_ms) {
  while (!closes_.empty() && now_ms - closes_.front().at_ms > closes_kept_ms) closes_.pop_front();
  double configured_ms = close_after_ms();
  if (closes_.size() < min_closes) return configured_ms;
  std::vector<EndpointIndex> endpoints;
  double least_ms = configured_ms;
  for (const auto& close : closes_) {
    least_ms = std::min(least_ms, close.idle_ms);
    if (std::find(endpoints.begin(), endpoints.end(), close.endpoint) == endpoints.end())
      endpoints.push_back(close.endpoint);
  }
  return endpoints.size() < min_endpoints ? configured_ms : unseen_close_share * least_ms;
}

double IdleTimeoutEstimator::close_after_ms() const { return usable_share * idle_timeout_ms_; }

}  // namespace meadowgauge::proxy
