#include "policy/slow_start.hpp"

#include <algorithm>
#include <cmath>

namespace meadowgauge {
namespace {

constexpr double safety_factor = 0.5;             // of what a warming endpoint is estimated to bear
constexpr double max_tokens_count = 1;            // requests that may be saved up
constexpr double full_token_replicas_count = 16;  // up to so many balancers each begin with a whole token
constexpr double failure_pause_ms = 500;          // after a failure, before a request without a token
constexpr double max_idle_requests = 0.5;         // held at the last probe, below which an endpoint is idle
constexpr double success_decay_ms = 5000;         // time constant of the success rate

}  // namespace

double SlowStart::capacity_fraction(const Endpoint& endpoint, double now_ms) const {
  if (!warming_up(endpoint, now_ms)) return 1;
  double progress = std::clamp((now_ms - endpoint.up_since_ms) / settings_.slow_start_ms, 0.0, 1.0);
  return settings_.initial_capacity_fraction + (1 - settings_.initial_capacity_fraction) * progress;
}

double SlowStart::tokens_per_ms(double capacity_fraction) const {
  return warm_success_rate_ * settings_.overload_factor * capacity_fraction * safety_factor;
}

// With few balancers each begins with a whole token. With many, whole tokens of all would overload the
// endpoint at its start: only a part of the balancers has one, the others a random part of one, so that they
// follow evenly.
void SlowStart::start(Endpoint& endpoint, double now_ms) {
  restore_after_drain(endpoint, now_ms);
  double own_budget = tokens_per_ms(settings_.initial_capacity_fraction) * settings_.overload_window_ms;
  double full_token_share = std::max(own_budget, full_token_replicas_count / settings_.replicas);
  if (full_token_share < 1 && random_.uniform() >= full_token_share)
    endpoint.slow_start.tokens = random_.uniform();
}

void SlowStart::restore_after_drain(Endpoint& endpoint, double now_ms) {
  endpoint.slow_start.tokens = max_tokens_count;
  endpoint.slow_start.refilled_at_ms = now_ms;
}

void SlowStart::update_any_warmed_up(double now_ms) {
  any_warmed_up_ = std::ranges::any_of(endpoints_.listed(), [&](EndpointIndex index) {
    return endpoints_[index].is_available() && !warming_up(endpoints_[index], now_ms);
  });
}

void SlowStart::refill(Endpoint& endpoint, double now_ms) const {
  if (!warming_up(endpoint, now_ms)) return;
  auto& bucket = endpoint.slow_start;
  double rate = tokens_per_ms(capacity_fraction(endpoint, now_ms));
  bucket.tokens = std::min(max_tokens_count, bucket.tokens + rate * (now_ms - bucket.refilled_at_ms));
  bucket.refilled_at_ms = now_ms;
}

// Nothing of this balancer is in flight there, and nothing has failed there a moment ago.
bool SlowStart::is_idle(const Endpoint& endpoint, double now_ms) {
  return endpoint.in_flight == 0 && now_ms - endpoint.slow_start.failed_at_ms > failure_pause_ms;
}

bool SlowStart::is_probed_idle(const Endpoint& endpoint, double now_ms) const {
  return load_.has_fresh_probe(endpoint, now_ms) && endpoint.load.probed_load < max_idle_requests &&
         is_idle(endpoint, now_ms);
}

bool SlowStart::has_budget(const Endpoint& endpoint, double now_ms) const {
  if (!warming_up(endpoint, now_ms) || endpoint.slow_start.tokens >= 1) return true;
  return (!any_warmed_up_ && is_idle(endpoint, now_ms)) || is_probed_idle(endpoint, now_ms);
}

void SlowStart::spend(Endpoint& endpoint, double now_ms) const {
  if (!warming_up(endpoint, now_ms) || is_probed_idle(endpoint, now_ms)) return;
  endpoint.slow_start.tokens = std::max(0.0, endpoint.slow_start.tokens - 1);
}

// The mean over the warm endpoints of successes a ms, in a window that decays; shortly after the start the
// window is only as long as the time since.
void SlowStart::tick(double interval_ms, double now_ms) {
  double sum_of_successes = 0;
  int warm_endpoints = 0;
  double left = std::exp(-interval_ms / success_decay_ms);
  for (EndpointIndex index : endpoints_.listed()) {
    auto& endpoint = endpoints_[index];
    endpoint.slow_start.success_rate *= left;
    if (!endpoint.is_available() || warming_up(endpoint, now_ms)) continue;
    sum_of_successes += endpoint.slow_start.success_rate;
    ++warm_endpoints;
  }
  double window_ms = success_decay_ms * (1 - std::exp(-(now_ms - started_at_ms_ + 1) / success_decay_ms));
  if (warm_endpoints > 0) warm_success_rate_ = sum_of_successes / warm_endpoints / window_ms;
}

}  // namespace meadowgauge
