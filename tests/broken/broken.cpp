// Balancers that each break one rule on purpose, so that tests can show that the testbed's checker catches
// them. Which rule is chosen when it is compiled (BROKEN_*).
#include <algorithm>
#include <cstdlib>

#include "plain.hpp"

namespace meadowgauge::baselines {

EndpointIndex choose(std::span<const EndpointIndex> ready, State& s) {
#ifdef BROKEN_CRASH
  if (++s.turn > 150) std::_Exit(0);
#endif
#ifdef BROKEN_SLOW_START
  // All requests go to the server that started last.
  return *std::max_element(ready.begin(), ready.end(), [&](EndpointIndex a, EndpointIndex b) {
    return s.servers[position_of(a)].up_since_ms < s.servers[position_of(b)].up_since_ms;
  });
#else
  return ready[s.below(ready.size())];
#endif
}
#ifdef BROKEN_DUPLICATE
const int most_repeats = 2;
#else
const int most_repeats = 0;
#endif
const Flaws flaws{
#ifdef BROKEN_LOST
    .forgets = true,
#endif
#ifdef BROKEN_DUPLICATE
    .repeats = true,
#endif
#ifdef BROKEN_DRAINS
    .ignores_drains = true,
#endif
};

}  // namespace meadowgauge::baselines
