// Converts the state that a balancer has learned to and from named values, for its successor process.
#pragma once

#include <optional>
#include <vector>

#include "policy/concurrency_limiter.hpp"
#include "policy/locality_router.hpp"
#include "policy/types.hpp"

namespace meadowgauge {

// The learned values of the policy's components.
struct LearnedParts {
  ConcurrencyLimiter::Learned limiter;
  LocalityRouter::Learned locality;
  double p95_latency_ms = 0;
  std::vector<double> class_mean_log_latency;
};

// Adds all values of `parts` to the state.
void save(const LearnedParts& parts, LearnedState& state);
// Overwrites the values of `parts` that the state contains as finite numbers; leaves the others unchanged.
void restore(const LearnedState& state, LearnedParts& parts);

// Stores the time in ms until which an endpoint is ejected, and returns the stored time if there is one.
void save_ejection(EndpointIndex endpoint, double ejected_until_ms, LearnedState& state);
[[nodiscard]] std::optional<double> saved_ejection(const LearnedState& state, EndpointIndex endpoint);

}  // namespace meadowgauge
