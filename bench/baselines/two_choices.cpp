#include "plain.hpp"

namespace meadowgauge::baselines {

// Chooses the less loaded of two drawn servers by own requests in flight (Mitzenmacher 2001). No retries.
EndpointIndex choose(std::span<const EndpointIndex> ready, State& s) {
  EndpointIndex a = ready[s.below(ready.size())];
  EndpointIndex b = ready[s.below(ready.size())];
  return s.servers[position_of(b)].in_flight < s.servers[position_of(a)].in_flight ? b : a;
}
const int max_retries = 0;
const Flaws flaws;

}  // namespace meadowgauge::baselines
