#include "plain.hpp"

namespace meadowgauge::baselines {

// Chooses the servers in turn (round-robin). No retries.
EndpointIndex choose(std::span<const EndpointIndex> ready, State& s) {
  return ready[s.request_counter++ % ready.size()];
}
const int max_retries = 0;
const Flaws flaws;

}  // namespace meadowgauge::baselines
