// The concurrency limiter: how many requests the first tier bears from this balancer, by how long it takes.
#pragma once

#include <cstdint>

#include "policy/endpoint.hpp"
#include "policy/load_estimator.hpp"
#include "policy/policy_settings.hpp"
#include "policy/request_class.hpp"
#include "policy/slow_start.hpp"

namespace meadowgauge {

class ConcurrencyLimiter {
 public:
  // What a successor can go on with. Durations are over their class's usual share.
  struct Learned {
    double mean_ms = 0;
    double baseline_ms = 0;  // without overload; 0: not known
    double recent_ms = 0;
    double recent_in_flight = 0;  // in flight when the recent ones were sent
    double mean_in_flight = 0;
    double timely_share = 1;  // share of attempts that did not time out
    double utilization = 0;
  };

  // All arguments have to outlive it.
  ConcurrencyLimiter(const PolicySettings& settings, const EndpointTable& endpoints, RequestClasses& classes,
                     const LoadEstimator& load, const SlowStart& slow_start, double now_ms)
      : settings_(settings),
        endpoints_(endpoints),
        classes_(classes),
        load_(load),
        slow_start_(slow_start),
        started_(now_ms),
        tiers_below_(settings.stage_count - settings.stage) {}

  // First attempts of the first tier alone are limited.
  [[nodiscard]] bool applies_to(const Request& request) const;
  // Whether so many ready endpoints are enough for counting requests in flight to mean anything.
  [[nodiscard]] bool has_count_signal(double ready) const;
  // Whether one more is too much: for the tier, by count; for this endpoint, by its reports or its last
  // probe.
  bool is_tier_full(const Request& request, double ready);
  [[nodiscard]] bool is_full_by_report(const Request& request, const Endpoint& endpoint, double now_ms) const;
  [[nodiscard]] bool is_full_by_probe(const Request& request, const Endpoint& endpoint, double now_ms) const;

  // A request was, or was not, rejected by one of these.
  void record_decision(bool full);
  void record_timely(bool in_time);
  void record_duration(const Attempt& attempt, RequestClass& request_class, double took_ms, double now_ms);
  void record_utilization(double value);
  // To be called each `interval_ms`.
  void tick(double interval_ms);

  [[nodiscard]] double rejected_share() const { return rejected_; }
  [[nodiscard]] double mean_relative_latency() const { return mean_relative_latency_; }
  // Enough has been learned of the tier, of a class; anything has.
  [[nodiscard]] bool has_learned_tier() const;
  [[nodiscard]] static bool has_learned(const RequestClass& c);
  [[nodiscard]] bool has_any_sample() const { return answers_ > 0; }

  [[nodiscard]] const Learned& learned() const { return learned_; }
  void restore(const Learned& learned);

  // What others need of its constants: requests in flight per endpoint and this tier's place, of all
  // balancers, that are no overload; the utilization that is none.
  static double uncrowded_per_endpoint(const PolicySettings& settings);
  static double calm_utilization();

 private:
  [[nodiscard]] double share_for(const Request& request) const;
  [[nodiscard]] bool yields_capacity(const Request& request) const;
  double update_relative_latency(RequestClass& request_class, double took_ms);

  const PolicySettings& settings_;
  const EndpointTable& endpoints_;
  RequestClasses& classes_;
  const LoadEstimator& load_;
  const SlowStart& slow_start_;
  double started_;
  double tiers_below_;  // itself among them
  Learned learned_;
  double recent_target_ms_ = 0;
  double mean_relative_latency_ = 1;
  double rejected_ = 0;  // share of requests
  std::int64_t arrivals_ = 0;
  int answers_ = 0;
};

}  // namespace meadowgauge
