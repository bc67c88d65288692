#include "policy/learned_state.hpp"

#include <cmath>
#include <string>

namespace meadowgauge {
namespace {

std::string ejection_name(EndpointIndex endpoint) { return "bench@" + std::to_string(position_of(endpoint)); }

// Calls `apply` with the name and a reference to each value. The names are stored and read by other builds,
// so they must not change.
template <class Parts, class Function>
void for_each_value(Parts& parts, Function&& apply) {
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
  apply("near_util", locality.local_utilization);
  apply("far_util", locality.remote_utilization);
  apply("near_took", locality.local_latency_ms);
  apply("far_took", locality.remote_latency_ms);
  apply("slow_end", parts.p95_latency_ms);
  for (std::size_t i = 0; i < parts.class_mean_log_latency.size(); ++i)
    apply("pace." + std::to_string(i), parts.class_mean_log_latency[i]);
}

}  // namespace

void save(const LearnedParts& parts, LearnedState& state) {
  for_each_value(parts, [&](const std::string& name, double value) { state[name] = value; });
}

void restore(const LearnedState& state, LearnedParts& parts) {
  for_each_value(parts, [&](const std::string& name, double& value) {
    auto it = state.find(name);
    if (it != state.end() && std::isfinite(it->second)) value = it->second;
  });
}

void save_ejection(EndpointIndex endpoint, double ejected_until_ms, LearnedState& state) {
  state[ejection_name(endpoint)] = ejected_until_ms;
}

std::optional<double> saved_ejection(const LearnedState& state, EndpointIndex endpoint) {
  auto it = state.find(ejection_name(endpoint));
  return it == state.end() ? std::nullopt : std::optional(it->second);
}

}  // namespace meadowgauge
