// Slow start: limits the requests to an endpoint that was started recently. Design: docs/design.md, "Slow
// start".
#pragma once

#include "policy/endpoint.hpp"
#include "policy/load_estimator.hpp"
#include "policy/policy_settings.hpp"
#include "policy/random.hpp"

namespace meadowgauge {

// Gives each warming endpoint a token bucket, refilled at
//
//   mean success rate of a warm endpoint * overload factor * capacity fraction * 0.5   (requests per ms)
//
// where the capacity fraction rises linearly from the configured initial value to 1 over the warm-up time.
// Each balancer measures the success rate of its own requests only, so that the sum over all balancers stays
// within the endpoint's capacity.
//
// An endpoint without a token gets a request only if this balancer has nothing in flight there, and either no
// endpoint is warm or a fresh probe found the endpoint idle. A balancer that sends one request at a time
// cannot send faster than the endpoint answers.
class SlowStart {
 public:
  // All arguments must outlive the slow start.
  SlowStart(const PolicySettings& settings, EndpointTable& endpoints, const LoadEstimator& load,
            Random& random, double now_ms)
      : settings_(settings), endpoints_(endpoints), load_(load), random_(random), started_at_ms_(now_ms) {}

  // Returns whether the endpoint was started less than the warm-up time ago.
  [[nodiscard]] bool warming_up(const Endpoint& endpoint, double now_ms) const {
    return endpoint.up_since_ms > 0 && now_ms - endpoint.up_since_ms < settings_.slow_start_ms;
  }
  // Returns the minimum share of its full capacity that the endpoint has by now, 0 to 1.
  [[nodiscard]] double capacity_fraction(const Endpoint& endpoint, double now_ms) const;

  // Initializes the token bucket of an endpoint that is new or was restarted.
  void start(Endpoint& endpoint, double now_ms);
  // Fills the token bucket after a manual drain, so that the first request may be sent at once.
  static void restore_after_drain(Endpoint& endpoint, double now_ms);

  // Determines whether any available endpoint is warm. Call it before each pick.
  void update_any_warmed_up(double now_ms);
  // Adds the tokens earned since the last call. Call it before has_budget() for the endpoint.
  void refill(Endpoint& endpoint, double now_ms) const;
  // Returns whether the endpoint may get one more request now; always true for a warm endpoint.
  [[nodiscard]] bool has_budget(const Endpoint& endpoint, double now_ms) const;
  // Takes a token for a request that is about to be sent to the endpoint.
  void spend(Endpoint& endpoint, double now_ms) const;

  static void record_success(Endpoint& endpoint) { endpoint.slow_start.success_rate += 1; }
  static void record_failure(Endpoint& endpoint, double now_ms) { endpoint.slow_start.failed_at_ms = now_ms; }
  // Updates the success rate of warm endpoints. Call it every `interval_ms`.
  void tick(double interval_ms, double now_ms);

 private:
  [[nodiscard]] double tokens_per_ms(double capacity_fraction) const;
  [[nodiscard]] static bool is_idle(const Endpoint& endpoint, double now_ms);
  // Returns whether the endpoint is idle both by a fresh probe and by this balancer's own requests.
  [[nodiscard]] bool is_probed_idle(const Endpoint& endpoint, double now_ms) const;

  const PolicySettings& settings_;
  EndpointTable& endpoints_;
  const LoadEstimator& load_;
  Random& random_;
  double started_at_ms_;
  double warm_success_rate_ = 0;  // mean successes per ms of a warm endpoint
  bool any_warmed_up_ = false;
};

}  // namespace meadowgauge
