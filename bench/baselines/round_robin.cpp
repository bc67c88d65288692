#include "plain.hpp"

namespace meadowgauge::baselines {

// Servers in turn; no repeat.
EndpointIndex choose(std::span<const EndpointIndex> ready, State& s) {
  return ready[s.turn++ % ready.size()];
}
const int most_repeats = 0;
const Flaws flaws;

}  // namespace meadowgauge::baselines
