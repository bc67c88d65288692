#include "policy/locality_router.hpp"

#include <algorithm>
#include <cmath>

#include "policy/concurrency_limiter.hpp"
#include "policy/moving_average.hpp"

namespace meadowgauge {
namespace {

// Spillover share.
constexpr double min_zone_spillover_share =
    0.03;                                     // minimum spillover share of all balancers of a zone together
constexpr double max_spillover_divisor = 10;  // highest number of balancers by which it is divided
constexpr double latency_spillover_rate = 0.01;    // rise per tick if only latencies are known
constexpr double spillover_decay_rate = 0.005;     // maximum fall per tick
constexpr double spillover_gain = 0.15;            // rise per tick / excess utilization
constexpr double min_busy_utilization = 0.5;       // a zone below this utilization has no excess
constexpr double max_zone_imbalance_ratio = 1.25;  // own zone / other zones, in utilization or latency

// Saturated zone.
constexpr double saturated_multiplier = 0.7;  // of the uncongested number in flight per endpoint
constexpr double preference_range_utilization =
    0.2;  // the preference grows over this range below the spare utilization

// Moving averages.
constexpr double report_time_constant_ms = 1500;  // time constant of a zone's average utilization
constexpr double min_report_gain = 0.04;          // weight of one report
constexpr double max_report_gain = 0.5;
constexpr double duration_gain = 0.008;  // weight of one response

}  // namespace

LocalityRouter::LocalityRouter(const PolicySettings& settings, const EndpointTable& endpoints, Random& random)
    : settings_(settings), endpoints_(endpoints), random_(random) {
  double zone_replicas = settings.replicas / settings.zone_count;
  double uncongested = ConcurrencyLimiter::uncongested_per_endpoint(settings);
  saturated_requests_ = saturated_multiplier * uncongested / zone_replicas;
  peers_share_ = std::max(0.0, 1 - 1 / zone_replicas);
  min_spillover_share_ = min_zone_spillover_share / std::clamp(zone_replicas, 1.0, max_spillover_divisor);
  learned_.spillover = min_spillover_share_;
}

// Returns whether every local candidate holds at least the saturated number of this balancer's requests plus
// `extra_requests`. In-flight counts show load at once; load reports are about a second late.
bool LocalityRouter::is_local_saturated(const std::vector<EndpointIndex>& candidates,
                                        double extra_requests) const {
  return std::ranges::all_of(candidates, [&](EndpointIndex index) {
    const auto& endpoint = endpoints_[index];
    return is_remote(endpoint) || endpoint.in_flight >= saturated_requests_ + extra_requests;
  });
}

// Computes the probability that a pick stays local for a second request per endpoint although the zone counts
// as saturated. With many balancers, a balancer's share of an endpoint's uncongested number in flight can be
// less than one request; a single request then exceeds the share, but says little about the load of the zone.
//
//   probability = peers' share of the zone's balancers * (1 - imbalance) * spare
//   imbalance   = (own zone's utilization / other zones' - 1) / 0.25, clamped to 0..1
//   spare       = (spare utilization - own zone's utilization) / 0.2, clamped to 0..1
//
// It is 0 if either utilization is not known.
double LocalityRouter::local_preference() const {
  double own_utilization = learned_.local_utilization;
  double others_utilization = learned_.remote_utilization;
  if (peers_share_ == 0 || own_utilization == 0 || others_utilization == 0) return 0;
  double imbalance =
      std::clamp((own_utilization / others_utilization - 1) / (max_zone_imbalance_ratio - 1), 0.0, 1.0);
  double spare_utilization = ConcurrencyLimiter::spare_utilization() - own_utilization;
  double spare = std::clamp(spare_utilization / preference_range_utilization, 0.0, 1.0);
  return peers_share_ * (1 - imbalance) * spare;
}

bool LocalityRouter::should_stay_local(const std::vector<EndpointIndex>& candidates) {
  double preference = local_preference();
  if (!is_local_saturated(candidates, 0)) return true;
  return preference > 0 && random_.uniform() < preference && !is_local_saturated(candidates, 1);
}

void LocalityRouter::restrict_to_local(std::vector<EndpointIndex>& candidates) {
  if (!has_cross_zone_cost() || random_.uniform() < learned_.spillover) return;
  if (!should_stay_local(candidates)) return;
  std::erase_if(candidates, [this](EndpointIndex index) { return is_remote(endpoints_[index]); });
}

// The gain grows with the time since the last report, so that the average follows the elapsed time and not
// the number of reports: one balancer of many gets few reports from other zones.
void LocalityRouter::record_utilization(const Endpoint& endpoint, double utilization, double now_ms) {
  bool is_remote_endpoint = is_remote(endpoint);
  double& reported_at_ms = is_remote_endpoint ? remote_reported_at_ms_ : local_reported_at_ms_;
  double gain = 1 - std::exp((reported_at_ms - now_ms) / report_time_constant_ms);
  gain = std::clamp(gain, min_report_gain, max_report_gain);
  update_average(is_remote_endpoint ? learned_.remote_utilization : learned_.local_utilization, utilization,
                 gain);
  reported_at_ms = now_ms;
}

void LocalityRouter::record_duration(const Endpoint& endpoint, double took_ms) {
  if (!has_cross_zone_cost()) return;
  update_average(is_remote(endpoint) ? learned_.remote_latency_ms : learned_.local_latency_ms, took_ms,
                 duration_gain);
}

// Returns by how much the own zone's utilization exceeds the allowed value; negative if it does not.
// Latencies alone show only whether the zone is too busy, so the excess then has a fixed size.
double LocalityRouter::excess_utilization() const {
  if (learned_.remote_utilization > 0) {
    double allowed = std::max(min_busy_utilization, max_zone_imbalance_ratio * learned_.remote_utilization);
    return learned_.local_utilization - allowed;
  }
  bool is_slower = learned_.local_latency_ms > max_zone_imbalance_ratio * learned_.remote_latency_ms;
  return is_slower ? latency_spillover_rate / spillover_gain : -1;
}

void LocalityRouter::tick() {
  if (!has_cross_zone_cost()) return;
  double step = std::max(spillover_gain * excess_utilization(), -spillover_decay_rate);
  learned_.spillover = std::clamp(learned_.spillover + step, min_spillover_share_, 1.0);
}

}  // namespace meadowgauge
