#include "policy/slow_start.hpp"

#include <algorithm>
#include <cmath>

namespace meadowgauge {
namespace {

constexpr double safety_factor = 0.5;           // share used of a warming endpoint's estimated capacity
constexpr double max_tokens = 1;                // capacity of a token bucket
constexpr double max_full_token_replicas = 16;  // up to this many balancers each start with a whole token
constexpr double failure_pause_ms = 500;        // after a failure, before a request without a token
constexpr double max_idle_requests = 0.5;       // an endpoint is idle if its last probe showed fewer
constexpr double success_decay_ms = 5000;       // time constant of the success rate

}  // namespace

double SlowStart::capacity_fraction(const Endpoint& endpoint, double now_ms) const {
  if (!warming_up(endpoint, now_ms)) return 1;
  double progress = std::clamp((now_ms - endpoint.up_since_ms) / settings_.slow_start_ms, 0.0, 1.0);
  return settings_.initial_capacity_fraction + (1 - settings_.initial_capacity_fraction) * progress;
}

double SlowStart::tokens_per_ms(double capacity_fraction) const {
  return warm_success_rate_ * settings_.overload_factor * capacity_fraction * safety_factor;
}

// With few balancers, each starts with a whole token. With many, a whole token at each balancer would
// overload the endpoint at its start: only a share of the balancers, drawn at random, gets a whole token. The
// others get a random fraction, so that their first requests are spread evenly.
void SlowStart::start(Endpoint& endpoint, double now_ms) {
  restore_after_drain(endpoint, now_ms);
  double own_budget = tokens_per_ms(settings_.initial_capacity_fraction) * settings_.overload_window_ms;
  double full_token_share = std::max(own_budget, max_full_token_replicas / settings_.replicas);
  if (full_token_share < 1 && random_.uniform() >= full_token_share)
    endpoint.slow_start.tokens = random_.uniform();
}

void SlowStart::restore_after_drain(Endpoint& endpoint, double now_ms) {
  endpoint.slow_start.tokens = max_tokens;
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
  bucket.tokens = std::min(max_tokens, bucket.tokens + rate * (now_ms - bucket.refilled_at_ms));
  bucket.refilled_at_ms = now_ms;
}

// Returns whether this balancer has nothing in flight at the endpoint and no recent failure there.
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

// Computes the mean successes per ms of the warm endpoints over an exponentially decaying window. Shortly
// after the balancer's start the effective window is only as long as the time since then.
void SlowStart::tick(double interval_ms, double now_ms) {
  double sum_of_successes = 0;
  int warm_endpoints = 0;
  double decay_factor = std::exp(-interval_ms / success_decay_ms);
  for (EndpointIndex index : endpoints_.listed()) {
    auto& endpoint = endpoints_[index];
    endpoint.slow_start.success_rate *= decay_factor;
    if (!endpoint.is_available() || warming_up(endpoint, now_ms)) continue;
    sum_of_successes += endpoint.slow_start.success_rate;
    ++warm_endpoints;
  }
  double window_ms = success_decay_ms * (1 - std::exp(-(now_ms - started_at_ms_ + 1) / success_decay_ms));
  if (warm_endpoints > 0) warm_success_rate_ = sum_of_successes / warm_endpoints / window_ms;
}

}  // namespace meadowgauge
