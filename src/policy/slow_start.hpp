// Slow start: how many requests an endpoint gets that was started a short while ago. Design: docs/design.md,
// "Slow start".
#pragma once

#include "policy/endpoint.hpp"
#include "policy/load_estimator.hpp"
#include "policy/policy_settings.hpp"
#include "policy/random.hpp"

namespace meadowgauge {

// Gives each warming endpoint a token bucket, refilled at
//
//   mean success rate of a warm endpoint * overload factor * capacity fraction * 0.5   (requests a ms)
//
// where the capacity fraction rises linearly from the configured start to 1 over the warm-up time. Each
// balancer measures the success rate by its own requests, so that the sum over all balancers stays within the
// endpoint's capacity. Without a token an endpoint gets a request only when nothing of this balancer is in
// flight there and either no endpoint is warm or a fresh probe found it idle: who waits for each answer can't
// outrun it.
class SlowStart {
 public:
  // All arguments must outlive it.
  SlowStart(const PolicySettings& settings, EndpointTable& endpoints, const LoadEstimator& load,
            Random& random, double now_ms)
      : settings_(settings), endpoints_(endpoints), load_(load), random_(random), started_at_ms_(now_ms) {}

  [[nodiscard]] bool warming_up(const Endpoint& endpoint, double now_ms) const {
    return endpoint.up_since_ms > 0 && now_ms - endpoint.up_since_ms < settings_.slow_start_ms;
  }
  // The least share of its full capacity that the endpoint has by now, 0 to 1.
  [[nodiscard]] double capacity_fraction(const Endpoint& endpoint, double now_ms) const;

  // The endpoint is new, or was restarted.
  void start(Endpoint& endpoint, double now_ms);
  // A manual drain of the endpoint has ended: its first request may go at once.
  static void restore_after_drain(Endpoint& endpoint, double now_ms);

  // To be called before each pick, and refill() for each endpoint that has_budget() is asked about.
  void update_any_warmed_up(double now_ms);
  void refill(Endpoint& endpoint, double now_ms) const;
  // Whether the endpoint may get one more request now; always true once it is warm.
  [[nodiscard]] bool has_budget(const Endpoint& endpoint, double now_ms) const;
  // A request is about to be sent there.
  void spend(Endpoint& endpoint, double now_ms) const;

  static void record_success(Endpoint& endpoint) { endpoint.slow_start.success_rate += 1; }
  static void record_failure(Endpoint& endpoint, double now_ms) { endpoint.slow_start.failed_at_ms = now_ms; }
  // Measures the success rate of warm endpoints. To be called every `interval_ms`.
  void tick(double interval_ms, double now_ms);

 private:
  [[nodiscard]] double tokens_per_ms(double capacity_fraction) const;
  [[nodiscard]] static bool is_idle(const Endpoint& endpoint, double now_ms);
  [[nodiscard]] bool is_probed_idle(const Endpoint& endpoint, double now_ms) const;

  const PolicySettings& settings_;
  EndpointTable& endpoints_;
  const LoadEstimator& load_;
  Random& random_;
  double started_at_ms_;
  double warm_success_rate_ = 0;  // successes a ms of a warm endpoint
  bool any_warmed_up_ = false;
};

}  // namespace meadowgauge
