#include "policy/locality_router.hpp"

#include <algorithm>
#include <cmath>

#include "policy/concurrency_limiter.hpp"
#include "policy/moving_average.hpp"

namespace meadowgauge {
namespace {

// Spillover share.
constexpr double min_zone_spillover_share = 0.03;    // of the picks of all balancers of a zone together
constexpr double max_spillover_replicas_count = 10;  // balancers over which that share is divided at most
constexpr double latency_spillover_rate = 0.01;      // rise a tick, where only latencies are known
constexpr double spillover_decay_rate = 0.005;       // fall a tick
constexpr double spillover_gain = 0.15;              // rise a tick, of the excess utilization
constexpr double min_busy_utilization_ratio = 0.5;   // below it a zone has no excess
constexpr double max_zone_imbalance_ratio = 1.25;    // own zone over the others, in utilization or latency

// Saturated zone.
constexpr double saturated_multiplier = 0.7;  // of the uncongested number in flight per endpoint
constexpr double preference_span_utilization_ratio =
    0.2;  // below spare utilization, over which preference grows

// Moving averages.
constexpr double report_fresh_ms = 1500;  // time constant with which a zone's utilization follows reports
constexpr double min_report_gain = 0.04;  // of one report
constexpr double max_report_gain = 0.5;
constexpr double duration_gain = 0.008;  // of one response

}  // namespace

LocalityRouter::LocalityRouter(const PolicySettings& settings, const EndpointTable& endpoints, Random& random)
    : settings_(settings), endpoints_(endpoints), random_(random) {
  double zone_replicas = settings.replicas / settings.zone_count;
  double uncongested = ConcurrencyLimiter::uncongested_per_endpoint(settings);
  saturated_requests_ = saturated_multiplier * uncongested / zone_replicas;
  peers_share_ = std::max(0.0, 1 - 1 / zone_replicas);
  min_spillover_share_ =
      min_zone_spillover_share / std::clamp(zone_replicas, 1.0, max_spillover_replicas_count);
  learned_.spillover = min_spillover_share_;
}

// Whether every local candidate holds at least the saturated number of own requests, and `extra_requests`
// more. Own requests show at once what load reports show a second late.
bool LocalityRouter::is_local_saturated(const std::vector<EndpointIndex>& candidates,
                                        double extra_requests) const {
  return std::ranges::all_of(candidates, [&](EndpointIndex index) {
    const auto& endpoint = endpoints_[index];
    return is_remote(endpoint) || endpoint.in_flight >= saturated_requests_ + extra_requests;
  });
}

// Probability with which a pick stays local for a second request per endpoint, although the zone counts as
// saturated. A part of under one request is saturated by a single one, which says little about the zone.
//
//   peers' share * (1 - imbalance) * spare,   imbalance and spare within 0 and 1:
//   imbalance = (own utilization / others' - 1) / 0.25
//   spare     = (spare utilization - own utilization) / 0.2
double LocalityRouter::local_preference() const {
  double near = learned_.near_utilization;
  double far = learned_.far_utilization;
  if (peers_share_ == 0 || near == 0 || far == 0) return 0;
  double imbalance = std::clamp((near / far - 1) / (max_zone_imbalance_ratio - 1), 0.0, 1.0);
  double spare_utilization = ConcurrencyLimiter::spare_utilization() - near;
  double spare = std::clamp(spare_utilization / preference_span_utilization_ratio, 0.0, 1.0);
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

// The gain grows with the time since the last report, so that the average follows by time and not by the
// number of reports: at one of many balancers only a few requests cross zones.
void LocalityRouter::record_utilization(const Endpoint& endpoint, double utilization, double now_ms) {
  bool remote = is_remote(endpoint);
  double& reported_at_ms = remote ? far_reported_at_ms_ : near_reported_at_ms_;
  double gain = 1 - std::exp((reported_at_ms - now_ms) / report_fresh_ms);
  gain = std::clamp(gain, min_report_gain, max_report_gain);
  blend(remote ? learned_.far_utilization : learned_.near_utilization, utilization, gain);
  reported_at_ms = now_ms;
}

void LocalityRouter::record_duration(const Endpoint& endpoint, double took_ms) {
  if (!has_cross_zone_cost()) return;
  blend(is_remote(endpoint) ? learned_.far_ms : learned_.near_ms, took_ms, duration_gain);
}

// How much busier the own zone is than it may be, in utilization; negative: it is not. Latencies alone show
// only whether it is, so that the excess then has a fixed size.
double LocalityRouter::excess_utilization() const {
  if (learned_.far_utilization > 0) {
    double allowed =
        std::max(min_busy_utilization_ratio, max_zone_imbalance_ratio * learned_.far_utilization);
    return learned_.near_utilization - allowed;
  }
  bool is_slower = learned_.near_ms > max_zone_imbalance_ratio * learned_.far_ms;
  return is_slower ? latency_spillover_rate / spillover_gain : -1;
}

void LocalityRouter::tick() {
  if (!has_cross_zone_cost()) return;
  double step = std::max(spillover_gain * excess_utilization(), -spillover_decay_rate);
  learned_.spillover = std::clamp(learned_.spillover + step, min_spillover_share_, 1.0);
}

}  // namespace meadowgauge
