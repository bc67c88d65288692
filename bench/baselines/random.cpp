#include "plain.hpp"

namespace meadowgauge::baselines {

// Chooses a server uniformly at random. No retries.
EndpointIndex choose(std::span<const EndpointIndex> ready, State& s) {
  return ready[s.random_below(ready.size())];
}
const int max_retries = 0;
const Flaws flaws;

}  // namespace meadowgauge::baselines
