#include "plain.hpp"

namespace meadowgauge::baselines {

// Draws two servers at random and chooses the one with fewer requests of this balancer in flight ("power of
// two choices", Mitzenmacher 2001). No retries.
EndpointIndex choose(std::span<const EndpointIndex> ready, State& s) {
  EndpointIndex a = ready[s.random_below(ready.size())];
  EndpointIndex b = ready[s.random_below(ready.size())];
  return s.servers[position_of(b)].in_flight < s.servers[position_of(a)].in_flight ? b : a;
}
const int max_retries = 0;
const Flaws flaws;

}  // namespace meadowgauge::baselines
