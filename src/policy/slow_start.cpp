#include "policy/slow_start.hpp"

#include <algorithm>
#include <cmath>

namespace meadowgauge {

constexpr double safety = 0.5, burst = 1;  // of what a cold server is thought to bear; requests saved up
constexpr double few_balancers = 16;       // up to so many each begin with a whole request
constexpr double failure_pause_ms = 500;   // after a failure, where only cold servers are left
constexpr double idle_load = 0.5;          // below this a probe has found nothing to do there
constexpr double rate_decay_ms = 5000;     // successes count over this time

double SlowStart::capacity_fraction(const Endpoint& endpoint, double now_ms) const {
  if (!warming_up(endpoint, now_ms)) return 1;
  double part = std::clamp((now_ms - endpoint.up_since_ms) / settings_.slow_start_ms, 0.0, 1.0);
  return settings_.initial_capacity_fraction + (1 - settings_.initial_capacity_fraction) * part;
}

// A cold server's share of this instance's sends: what a warm one is seen to deliver, scaled down.
double SlowStart::share_per_ms(double capacity_fraction) const {
  return usual_rate_ * settings_.overload_factor * capacity_fraction * safety;
}

void SlowStart::start(Endpoint& endpoint, double now_ms) {
  restore_after_drain(endpoint, now_ms);
  // A whole token with each of hundreds pushed servers over at their start: the rest comes evenly.
  double part = std::max(share_per_ms(settings_.initial_capacity_fraction) * settings_.overload_window_ms,
                         few_balancers / settings_.replicas);
  if (part < 1 && random_.uniform() >= part) endpoint.slow_start.tokens = random_.uniform();
}

void SlowStart::restore_after_drain(Endpoint& endpoint, double now_ms) {
  endpoint.slow_start.tokens = burst;
  endpoint.slow_start.refilled_at_ms = now_ms;
}

void SlowStart::update_any_warmed_up(double now_ms) {
  any_warmed_up_ = std::ranges::any_of(endpoints_.listed, [&](EndpointIndex i) {
    return endpoints_[i].is_available() && !warming_up(endpoints_[i], now_ms);
  });
}

void SlowStart::refill(Endpoint& endpoint, double now_ms) const {
  if (!warming_up(endpoint, now_ms)) return;
  auto& s = endpoint.slow_start;
  s.tokens = std::min(
      burst, s.tokens + share_per_ms(capacity_fraction(endpoint, now_ms)) * (now_ms - s.refilled_at_ms));
  s.refilled_at_ms = now_ms;
}

bool SlowStart::idle(const Endpoint& endpoint, double now_ms) const {
  return endpoint.in_flight == 0 && now_ms - endpoint.slow_start.failed_at_ms > failure_pause_ms;
}

bool SlowStart::probed_idle(const Endpoint& endpoint, double now_ms) const {
  return load_.has_fresh_probe(endpoint, now_ms) && endpoint.load.probed_load < idle_load &&
         idle(endpoint, now_ms);
}

// With none warm, one request at a time goes to each: what waits for its answer can't outrun the server.
bool SlowStart::has_budget(const Endpoint& endpoint, double now_ms) const {
  return !warming_up(endpoint, now_ms) || endpoint.slow_start.tokens >= 1 ||
         (!any_warmed_up_ && idle(endpoint, now_ms)) || probed_idle(endpoint, now_ms);
}

void SlowStart::spend(Endpoint& endpoint, double now_ms) const {
  if (warming_up(endpoint, now_ms) && !probed_idle(endpoint, now_ms))
    endpoint.slow_start.tokens = std::max(0.0, endpoint.slow_start.tokens - 1);
}

void SlowStart::tick(double interval_ms, double now_ms) {
  double rates = 0;
  int warmed_up = 0;
  double left = std::exp(-interval_ms / rate_decay_ms);
  for (EndpointIndex i : endpoints_.listed) {
    auto& endpoint = endpoints_[i];
    endpoint.slow_start.success_rate *= left;
    if (!endpoint.is_available() || warming_up(endpoint, now_ms)) continue;
    rates += endpoint.slow_start.success_rate;
    ++warmed_up;
  }
  double seen_ms = rate_decay_ms * (1 - std::exp(-(now_ms - started_ + 1) / rate_decay_ms));
  if (warmed_up > 0) usual_rate_ = rates / warmed_up / seen_ms;
}

}  // namespace meadowgauge
