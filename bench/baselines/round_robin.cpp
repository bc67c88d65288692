#include "plain.hpp"

namespace meadowgauge::baselines {

// Chooses the servers round-robin. No retries.
EndpointIndex choose(std::span<const EndpointIndex> ready, State& s) {
  return ready[s.turn++ % ready.size()];
}
const int max_retries = 0;
const Flaws flaws;

}  // namespace meadowgauge::baselines
