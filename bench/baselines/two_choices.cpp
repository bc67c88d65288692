#include "plain.hpp"

namespace meadowgauge::baselines {

// The emptier of two drawn servers (Mitzenmacher 2001), by own requests out; no repeat.
EndpointIndex choose(std::span<const EndpointIndex> ready, State& s) {
  EndpointIndex a = ready[s.below(ready.size())];
  EndpointIndex b = ready[s.below(ready.size())];
  return s.servers[position_of(b)].in_flight < s.servers[position_of(a)].in_flight ? b : a;
}
const int most_repeats = 0;
const Flaws flaws;

}  // namespace meadowgauge::baselines
