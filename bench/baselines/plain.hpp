// Shared by the baselines: textbook balancers that replace the policy behind its interface, for comparison.
// They keep the rules on responses, retries and drains, without concurrency limits, outlier detection or slow
// start.
#pragma once

#include <cstdint>
#include <random>
#include <span>
#include <vector>

#include "policy/policy.hpp"

namespace meadowgauge::baselines {

struct Server {
  EndpointState state = EndpointState::gone;
  int zone = 0, in_flight = 0;
  double up_since_ms = 0;
};

struct State {
  std::vector<Server> servers;
  std::mt19937 rng;
  std::size_t turn = 0;
  [[nodiscard]] std::size_t below(std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(rng);
  }
};

// Each baseline defines these.
EndpointIndex choose(std::span<const EndpointIndex> ready, State& state);
extern const int max_retries;  // only of requests that are idempotent or have not executed

// The rules that a deliberately broken balancer violates; baselines violate none.
struct Flaws {
  bool loses_requests = false;          // gives no final response to a failed request
  bool retries_non_idempotent = false;  // even if the request may have executed
  bool ignores_drains = false;
};
extern const Flaws flaws;

}  // namespace meadowgauge::baselines
