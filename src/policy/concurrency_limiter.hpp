// Adaptive concurrency limit of the first tier. Design and reasons: docs/design.md, "Concurrency limit";
// constants with their measurements: docs/capacity.md.
#pragma once

#include <cstdint>

#include "policy/endpoint.hpp"
#include "policy/load_estimator.hpp"
#include "policy/policy_settings.hpp"
#include "policy/request_class.hpp"
#include "policy/slow_start.hpp"

namespace meadowgauge {

// Limits how many requests this balancer has in flight to the first tier, by the latency of responses.
//
// A request is admitted if either condition holds, where `in flight` is the number of this balancer's own
// requests to all endpoints:
//
//   uncongested limit   in flight     <  U + bU * sqrt(U)
//   latency limit       in flight + 1 <= N / r + m * bN * sqrt(N)
//
// U   this balancer's share of the requests in flight that never congest the tier: two per endpoint and
//     remaining tier, divided among all balancers
// N   moving average of the requests in flight when the recently answered requests were sent
// r   overload ratio: recent latency / allowed latency / share of attempts that did not time out
// bN  burst allowance in standard deviations of a Poisson count: 1.2, down to 0 as r goes from 1 to 1.8
// bU  the same, reduced when the mean number in flight is close to U
// m   1 to 3: the load of one of many balancers fluctuates more than the tier's load, which is their sum
//
// The second limit follows from Little's law: the in-flight count and the latency grow in proportion, so a
// latency of r times the allowed latency requires dividing the count by r. All latencies are divided by the
// relative latency of their request class (RequestClass::relative_latency), so that a changed mix of classes
// is not mistaken for a slower tier.
class ConcurrencyLimiter {
 public:
  // State handed over to a successor process. Latencies are divided by their class's relative latency.
  struct Learned {
    double mean_ms = 0;
    double baseline_ms = 0;  // latency without overload; 0: unknown
    double recent_ms = 0;
    double recent_in_flight = 0;  // in flight when the requests of `recent_ms` were sent
    double mean_in_flight = 0;
    double timely_share = 1;  // share of attempts that did not time out
    double utilization = 0;   // reported by endpoints, 0 to 1; 0: not reported
  };

  // All arguments must outlive the limiter.
  ConcurrencyLimiter(const PolicySettings& settings, const EndpointTable& endpoints, RequestClasses& classes,
                     const LoadEstimator& load, const SlowStart& slow_start, double now_ms)
      : settings_(settings),
        endpoints_(endpoints),
        classes_(classes),
        load_(load),
        slow_start_(slow_start),
        started_at_ms_(now_ms),
        remaining_tiers_(settings.stage_count - settings.stage) {}

  // Whether the request is subject to the limit. Only first attempts at the first tier are: a rejection in a
  // deeper tier would discard work already done.
  [[nodiscard]] bool applies_to(const Request& request) const;
  // Whether the number in flight can decide on admission, given the number of ready endpoints. It cannot
  // where a balancer's share of U is under one request; the load report or probe of the picked endpoint then
  // decides.
  [[nodiscard]] bool can_limit_by_in_flight(double ready_endpoints) const;

  // Whether the tier is too loaded for one more request. Counts the request as an arrival.
  bool is_tier_full(const Request& request, double ready_endpoints);
  // Whether the endpoint is too loaded for one more request, by its latest load report or its last probe.
  [[nodiscard]] bool is_full_by_report(const Request& request, const Endpoint& endpoint, double now_ms) const;
  [[nodiscard]] bool is_full_by_probe(const Request& request, const Endpoint& endpoint, double now_ms) const;

  // Records whether one of the three functions above has rejected a request.
  void record_decision(bool rejected);
  // Records whether an attempt has succeeded (`in_time`) or timed out.
  void record_timely(bool in_time);
  // Records the latency of a successful attempt. Updates the class's relative latency.
  void record_duration(const Attempt& attempt, RequestClass& request_class, double took_ms, double now_ms);
  // Records the utilization, 0 to 1, that a response reports of its endpoint.
  void record_utilization(double utilization);
  // Updates the baseline latency. Must be called every `interval_ms`.
  void tick(double interval_ms);

  // Moving average of the share of requests rejected, 0 to 1.
  [[nodiscard]] double rejected_share() const { return rejected_share_; }
  [[nodiscard]] double mean_relative_latency() const { return mean_relative_latency_; }
  // Whether enough responses of the tier, or of a class, have been seen to rely on the learned values.
  [[nodiscard]] bool has_learned_tier() const;
  [[nodiscard]] static bool has_learned(const RequestClass& request_class);
  [[nodiscard]] bool has_any_sample() const { return response_count_ > 0; }

  [[nodiscard]] const Learned& learned() const { return learned_; }
  void restore(const Learned& learned);

  // Requests in flight per endpoint, summed over all balancers, that do not congest this balancer's tier.
  static double uncongested_per_endpoint(const PolicySettings& settings);
  // Reported utilization, 0 to 1, below which a tier has spare capacity.
  static double spare_utilization();

 private:
  [[nodiscard]] double capacity_share(const Request& request) const;
  [[nodiscard]] bool has_low_weight_for_latency(const Request& request) const;
  void record_arrival();
  [[nodiscard]] double uncongested_in_flight(double ready_endpoints, double capacity_share) const;
  [[nodiscard]] double allowed_latency_ms(double capacity_share) const;
  [[nodiscard]] double overload_ratio(double capacity_share) const;
  [[nodiscard]] double burst_multiplier_for_mean(double uncongested_in_flight) const;
  [[nodiscard]] double own_deviation_multiplier() const;
  double update_relative_latency(RequestClass& request_class, double took_ms);
  void renormalize_relative_latencies(double factor);

  const PolicySettings& settings_;
  const EndpointTable& endpoints_;
  RequestClasses& classes_;
  const LoadEstimator& load_;
  const SlowStart& slow_start_;
  double started_at_ms_;
  double remaining_tiers_;  // number of tiers from this one to the last
  Learned learned_;
  double recent_objective_ms_ = 0;  // mean latency objective of the responses in recent_ms
  double mean_relative_latency_ = 1;
  double rejected_share_ = 0;
  std::int64_t arrival_count_ = 0;
  int response_count_ = 0;
};

}  // namespace meadowgauge
