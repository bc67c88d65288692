// Slow start: how many requests an endpoint gets that was started a short while ago.
#pragma once

#include "policy/endpoint.hpp"
#include "policy/load_estimator.hpp"
#include "policy/policy_settings.hpp"
#include "policy/random.hpp"

namespace meadowgauge {

class SlowStart {
 public:
  // All arguments have to outlive it.
  SlowStart(const PolicySettings& settings, EndpointTable& endpoints, const LoadEstimator& load,
            Random& random, double now_ms)
      : settings_(settings), endpoints_(endpoints), load_(load), random_(random), started_(now_ms) {}

  [[nodiscard]] bool warming_up(const Endpoint& endpoint, double now_ms) const {
    return endpoint.up_since_ms > 0 && now_ms - endpoint.up_since_ms < settings_.slow_start_ms;
  }
  // What it does of its full work now, at the least: 0 to 1.
  [[nodiscard]] double capacity_fraction(const Endpoint& endpoint, double now_ms) const;

  // It is new, or was started again.
  void start(Endpoint& endpoint, double now_ms);
  // It is put back after a manual drain: its first request goes to it at once.
  static void restore_after_drain(Endpoint& endpoint, double now_ms);

  // Before each pick: whether any listed endpoint is warm.
  void update_any_warmed_up(double now_ms);
  void refill(Endpoint& endpoint, double now_ms) const;
  // Whether it may get one more request now; always so once it is warm.
  [[nodiscard]] bool has_budget(const Endpoint& endpoint, double now_ms) const;
  void spend(Endpoint& endpoint, double now_ms) const;

  static void record_success(Endpoint& endpoint) { endpoint.slow_start.success_rate += 1; }
  static void record_failure(Endpoint& endpoint, double now_ms) { endpoint.slow_start.failed_at_ms = now_ms; }
  // To be called each `interval_ms`.
  void tick(double interval_ms, double now_ms);

 private:
  [[nodiscard]] double share_per_ms(double capacity_fraction) const;
  // Nothing of ours is there, and nothing has failed there a moment ago.
  [[nodiscard]] bool idle(const Endpoint& endpoint, double now_ms) const;
  [[nodiscard]] bool probed_idle(const Endpoint& endpoint, double now_ms) const;

  const PolicySettings& settings_;
  EndpointTable& endpoints_;
  const LoadEstimator& load_;
  Random& random_;
  double started_;
  double usual_rate_ = 0;  // successes a ms of a warm endpoint
  bool any_warmed_up_ = false;
};

}  // namespace meadowgauge
