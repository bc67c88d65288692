// What the baselines share: textbook balancers behind the same interface as the decision module, linked in
// its place for comparison. They keep the rules on answers, repeats and drains, and do nothing else: no
// throttle, no memory of a server's past, no care for cold ones.
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
extern const int most_repeats;  // attempts beyond the first, where nothing may have run

// How one that is broken on purpose is broken; a sound one has no flaw.
struct Flaws {
  bool forgets = false;  // no answer of its own: a request that failed is let lie
  bool repeats = false;  // sends a non-idempotent request again though it may have run
  bool ignores_drains = false;
};
extern const Flaws flaws;

}  // namespace meadowgauge::baselines
