#include "proxy/upstream/idle_timeout_estimator.hpp"

#include <algorithm>
#include <vector>

namespace meadowgauge::proxy {

namespace {

// Share of the configured idle timeout for which connections are reused. The rest covers the time in which a
// request and the endpoint's close could cross on the wire.
constexpr double usable_share = 0.8;
// Older closes are discarded.
constexpr double close_retention_ms = 10000;
constexpr std::size_t max_closes = 32;
// Closes after a shorter idle time are ignored: an endpoint that closes right after a response does not
// enforce an idle timeout.
constexpr double min_idle_ms = 50;
// Number of closes required to lower the timeout.
constexpr std::size_t min_closes = 5;
// Number of endpoints that the closes must come from: a crashing endpoint closes all its connections at any
// age.
constexpr std::size_t min_endpoints = 3;
// Share of the shortest observed idle time for which connections are reused: closes that are lost on the wire
// may have come after a shorter idle time.
constexpr double unseen_close_share = 0.35;

}  // namespace

void IdleTimeoutEstimator::closed_by_endpoint(EndpointIndex endpoint, double idle_ms, double now_ms) {
  if (idle_ms < min_idle_ms) return;
  closes_.push_back({.at_ms = now_ms, .idle_ms = idle_ms, .endpoint = endpoint});
  if (closes_.size() > max_closes) closes_.pop_front();
}

// Errs on the short side: a request on a connection that the endpoint has closed is reset, and only an
// idempotent request can be retried after a reset.
double IdleTimeoutEstimator::max_reuse_idle_ms(double now_ms) {
  while (!closes_.empty() && now_ms - closes_.front().at_ms > close_retention_ms) closes_.pop_front();
  double configured_ms = close_after_ms();
  if (closes_.size() < min_closes) return configured_ms;
  std::vector<EndpointIndex> endpoints;
  double min_observed_ms = configured_ms;
  for (const auto& close : closes_) {
    min_observed_ms = std::min(min_observed_ms, close.idle_ms);
    if (std::find(endpoints.begin(), endpoints.end(), close.endpoint) == endpoints.end())
      endpoints.push_back(close.endpoint);
  }
  return endpoints.size() < min_endpoints ? configured_ms : unseen_close_share * min_observed_ms;
}

double IdleTimeoutEstimator::close_after_ms() const { return usable_share * idle_timeout_ms_; }

}  // namespace meadowgauge::proxy
