#include "policy/learned_state.hpp"

#include <cmath>
#include <string>

namespace meadowgauge {
namespace {

std::string ejection_name(EndpointIndex endpoint) { return "bench@" + std::to_string(position_of(endpoint)); }

// The names are stored: other builds read them.
template <class Parts, class F>
void each(Parts& parts, F&& apply) {
  auto& limiter = parts.limiter;
  apply("mean_took", limiter.mean_ms);
  apply("calm", limiter.baseline_ms);
  apply("late_took", limiter.recent_ms);
  apply("late_held", limiter.recent_in_flight);
  apply("mean_out", limiter.mean_in_flight);
  apply("timely", limiter.timely_share);
  apply("tier_util", limiter.utilization);
  auto& locality = parts.locality;
  apply("spill", locality.spillover);
  apply("near_util", locality.near_utilization);
  apply("far_util", locality.far_utilization);
  apply("near_took", locality.near_ms);
  apply("far_took", locality.far_ms);
  apply("slow_end", parts.p95_latency_ms);
  for (std::size_t i = 0; i < parts.class_mean_log_latency.size(); ++i)
    apply("pace." + std::to_string(i), parts.class_mean_log_latency[i]);
}

}  // namespace

void save(const LearnedParts& parts, LearnedState& state) {
  each(parts, [&](const std::string& name, double value) { state[name] = value; });
}

void restore(const LearnedState& state, LearnedParts& parts) {
  each(parts, [&](const std::string& name, double& value) {
    auto it = state.find(name);
    if (it != state.end() && std::isfinite(it->second)) value = it->second;
  });
}

void save_ejection(EndpointIndex endpoint, double until, LearnedState& state) {
  state[ejection_name(endpoint)] = until;
}

std::optional<double> saved_ejection(const LearnedState& state, EndpointIndex endpoint) {
  auto it = state.find(ejection_name(endpoint));
  return it == state.end() ? std::nullopt : std::optional(it->second);
}

}  // namespace meadowgauge
