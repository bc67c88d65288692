#include "policy/locality_router.hpp"

#include <algorithm>
#include <cmath>

#include "policy/concurrency_limiter.hpp"
#include "policy/moving_average.hpp"

namespace meadowgauge {

constexpr double spillover_least = 0.03;  // of all balancers of the zone, over up to so many of them
constexpr double spillover_over = 10;
constexpr double filled_times = 0.7;  // of what is no overload: a zone whose servers hold that spills at once
constexpr double spillover_up = 0.01, spillover_down = 0.005;  // each tick
constexpr double spillover_gain = 0.15;                        // of what the own zone is busier
constexpr double report_fresh_ms = 1500;  // a zone's reported load is as old as this where little comes
constexpr double report_gain_least = 0.04, report_gain_most = 0.5, duration_gain = 0.008;
constexpr double zone_busy = 0.5;     // a zone less utilized spills no more than the least
constexpr double zone_slower = 1.25;  // own zone's mean over the others'
constexpr double stay_span = 0.2;     // of utilization below the calm, over which a filled part means less

LocalityRouter::LocalityRouter(const PolicySettings& settings, const EndpointTable& endpoints, Random& random)
    : settings_(settings), endpoints_(endpoints), random_(random) {
  double of_zone = settings.replicas / settings.zone_count;
  filled_at_ = filled_times * ConcurrencyLimiter::uncongested_per_endpoint(settings) / of_zone;
  peers_share_ = std::max(0.0, 1 - 1 / of_zone);
  least_spillover_ = learned_.spillover = spillover_least / std::clamp(of_zone, 1.0, spillover_over);
}

// Reports tell a second late of a zone with more traffic than servers; own requests tell at once.
bool LocalityRouter::own_zone_filled(const std::vector<EndpointIndex>& candidates, double on_top) const {
  return std::ranges::all_of(candidates, [&](EndpointIndex i) {
    return is_remote(endpoints_[i]) || endpoints_[i].in_flight >= filled_at_ + on_top;
  });
}

// A part of under one request is filled with a single one, which says little of what the zone holds: by the
// share of its balancers that are not this one a second goes near, while the zone is not busy.
double LocalityRouter::stay_probability() const {
  double near = learned_.near_utilization, far = learned_.far_utilization;
  if (peers_share_ == 0 || near == 0 || far == 0) return 0;
  double busier = std::clamp((near / far - 1) / (zone_slower - 1), 0.0, 1.0);
  double calm = std::clamp((ConcurrencyLimiter::spare_utilization() - near) / stay_span, 0.0, 1.0);
  return peers_share_ * (1 - busier) * calm;
}

void LocalityRouter::restrict_to_local(std::vector<EndpointIndex>& candidates) {
  if (!has_cross_zone_cost() || random_.uniform() < learned_.spillover) return;
  double stay = stay_probability();
  if (!own_zone_filled(candidates, 0) ||
      (stay > 0 && random_.uniform() < stay && !own_zone_filled(candidates, 1)))
    std::erase_if(candidates, [this](EndpointIndex i) { return is_remote(endpoints_[i]); });
}

// Where little comes the mean follows by the time: the few requests that cross told of other zones half a
// minute late.
void LocalityRouter::record_utilization(const Endpoint& endpoint, double utilization, double now_ms) {
  bool far = is_remote(endpoint);
  double& reported_at_ms = far ? far_reported_at_ms_ : near_reported_at_ms_;
  double gain = 1 - std::exp((reported_at_ms - now_ms) / report_fresh_ms);
  gain = std::clamp(gain, report_gain_least, report_gain_most);
  blend(far ? learned_.far_utilization : learned_.near_utilization, utilization, gain);
  reported_at_ms = now_ms;
}

void LocalityRouter::record_duration(const Endpoint& endpoint, double took_ms) {
  if (has_cross_zone_cost())
    blend(is_remote(endpoint) ? learned_.far_ms : learned_.near_ms, took_ms, duration_gain);
}

// By how much busier the own zone is than it may be; by durations it is only known whether.
void LocalityRouter::tick() {
  if (!has_cross_zone_cost()) return;
  const auto& l = learned_;
  double fuller = l.near_ms > zone_slower * l.far_ms ? spillover_up / spillover_gain : -1;
  if (l.far_utilization > 0)
    fuller = l.near_utilization - std::max(zone_busy, zone_slower * l.far_utilization);
  double step = std::max(spillover_gain * fuller, -spillover_down);
  learned_.spillover = std::clamp(l.spillover + step, least_spillover_, 1.0);
}

}  // namespace meadowgauge
