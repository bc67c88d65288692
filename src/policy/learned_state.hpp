// What a balancer has learned under the names that its successor finds it by. It holds no decisions.
#pragma once

#include <optional>
#include <vector>

#include "policy/concurrency_limiter.hpp"
#include "policy/locality_router.hpp"
#include "policy/types.hpp"

namespace meadowgauge {

struct LearnedParts {
  ConcurrencyLimiter::Learned limiter;
  LocalityRouter::Learned locality;
  double p95_latency_ms = 0;
  std::vector<double> class_mean_log_latency;
};

// Adds all of them to the state.
void save(const LearnedParts& parts, LearnedState& state);
// What the state does not name, or names no finite number for, is left as it is.
void restore(const LearnedState& state, LearnedParts& parts);

// Until when an endpoint is to be left alone.
void save_ejection(EndpointIndex endpoint, double until, LearnedState& state);
[[nodiscard]] std::optional<double> saved_ejection(const LearnedState& state, EndpointIndex endpoint);

}  // namespace meadowgauge
