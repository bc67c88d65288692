#include "plain.hpp"

namespace meadowgauge::baselines {

// Any server, whatever it has; no repeat.
EndpointIndex choose(std::span<const EndpointIndex> ready, State& s) { return ready[s.below(ready.size())]; }
const int most_repeats = 0;
const Flaws flaws;

}  // namespace meadowgauge::baselines
