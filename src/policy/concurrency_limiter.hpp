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

// Bounds how many requests this balancer has in flight to the first tier, from how long responses take.
//
// A request is admitted if either holds, `in flight` being this balancer's own requests to all endpoints:
//
//   uncongested limit   in flight     <  U + bU * sqrt(U)
//   latency limit       in flight + 1 <= N / r + m * bN * sqrt(N)
//
// U   requests in flight that never congest the tier: two an endpoint and remaining tier, shared by all
//     balancers
// N   requests in flight at the sending of those whose responses are recent
// r   overload ratio: recent latency / allowed latency / share of attempts that ended in time
// bN  burst allowance in standard deviations of a Poisson count: 1.2, down to 0 as r goes from 1 to 1.8
// bU  the same, or less where the mean in flight is already close to U
// m   1 to 3: one of many balancers deviates more than the tier, which averages over all of them
//
// The second limit is Little's law: in-flight count and latency grow in proportion, so a latency of r times
// the allowed one calls for a count smaller by r. All latencies are relative to their request class (see
// RequestClass::relative_latency), so that a changed mix of classes is not mistaken for a slower tier.
class ConcurrencyLimiter {
 public:
  // What a successor process can go on with. Latencies are divided by their class's relative latency.
  struct Learned {
    double mean_ms = 0;
    double baseline_ms = 0;  // latency without overload; 0: not known yet
    double recent_ms = 0;
    double recent_in_flight = 0;  // in flight at the sending of the requests behind `recent_ms`
    double mean_in_flight = 0;
    double timely_share = 1;  // share of attempts that did not time out
    double utilization = 0;   // as endpoints report it, 0 to 1; 0: not reported
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

  // Only first attempts at the first tier are limited: a deeper tier would discard work already done.
  [[nodiscard]] bool applies_to(const Request& request) const;
  // Whether the number in flight carries a signal, given so many ready endpoints. It carries none where a
  // balancer's part is under one request; the picked endpoint's load report or probe then decides.
  [[nodiscard]] bool has_count_signal(double ready_endpoints) const;

  // Whether one more request is too much for the tier. Counts the request as an arrival.
  bool is_tier_full(const Request& request, double ready_endpoints);
  // Whether one more is too much for this endpoint, by its latest load report or its last probe.
  [[nodiscard]] bool is_full_by_report(const Request& request, const Endpoint& endpoint, double now_ms) const;
  [[nodiscard]] bool is_full_by_probe(const Request& request, const Endpoint& endpoint, double now_ms) const;

  // One of the three functions above has rejected a request, or has let it pass.
  void record_decision(bool rejected);
  // An attempt has succeeded (`in_time`) or timed out.
  void record_timely(bool in_time);
  // An attempt has succeeded after `took_ms`. Changes the class's relative latency.
  void record_duration(const Attempt& attempt, RequestClass& request_class, double took_ms, double now_ms);
  // A response has reported its endpoint's utilization, 0 to 1.
  void record_utilization(double utilization);
  // Moves the baseline. To be called every `interval_ms`.
  void tick(double interval_ms);

  // Moving share of requests that were rejected, 0 to 1.
  [[nodiscard]] double rejected_share() const { return rejected_share_; }
  [[nodiscard]] double mean_relative_latency() const { return mean_relative_latency_; }
  // Whether enough responses have been seen, of the tier or of a class, to rely on what they taught.
  [[nodiscard]] bool has_learned_tier() const;
  [[nodiscard]] static bool has_learned(const RequestClass& request_class);
  [[nodiscard]] bool has_any_sample() const { return response_count_ > 0; }

  [[nodiscard]] const Learned& learned() const { return learned_; }
  void restore(const Learned& learned);

  // Requests in flight per endpoint, of all balancers together, that do not congest this balancer's tier.
  static double uncongested_per_endpoint(const PolicySettings& settings);
  // Reported utilization below which a tier has spare capacity, 0 to 1.
  static double spare_utilization();

 private:
  [[nodiscard]] double capacity_share(const Request& request) const;
  [[nodiscard]] bool yields_capacity(const Request& request) const;
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
  double remaining_tiers_;  // from this one to the last
  Learned learned_;
  double recent_objective_ms_ = 0;  // mean latency objective of the responses behind recent_ms
  double mean_relative_latency_ = 1;
  double rejected_share_ = 0;
  std::int64_t arrival_count_ = 0;
  int response_count_ = 0;
};

}  // namespace meadowgauge
