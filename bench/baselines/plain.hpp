// Shared code of the baselines: textbook load balancers that implement the interface of Policy, for
// comparison. They follow the rules on responses, retries and drains, but have no concurrency limits, no
// outlier detection and no slow start.
#pragma once

#include <cstdint>
#include <random>
#include <span>
#include <vector>

#include "policy/policy.hpp"

namespace meadowgauge::baselines {

// A listed server. `in_flight` counts the requests of this balancer.
struct Server {
  EndpointState state = EndpointState::gone;
  int zone = 0, in_flight = 0;
  double up_since_ms = 0;
};

// The state that choose() uses.
struct State {
  std::vector<Server> servers;
  std::mt19937 rng;
  std::size_t request_counter = 0;
  // A random number in [0, n).
  [[nodiscard]] std::size_t random_below(std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(rng);
  }
};

// Each baseline defines choose(), max_retries and flaws.

// Chooses one of the servers `ready`, which is not empty.
EndpointIndex choose(std::span<const EndpointIndex> ready, State& state);
// The maximum number of retries of a request. Only requests that are idempotent or have not executed are
// retried.
extern const int max_retries;

// The rules that a deliberately broken balancer violates, for tests of the testbed. Baselines violate none.
struct Flaws {
  bool loses_requests = false;          // a failed request gets no final response
  bool retries_non_idempotent = false;  // retries even if the request may have executed
  bool ignores_drains = false;          // sends requests to draining servers
};
extern const Flaws flaws;

}  // namespace meadowgauge::baselines
