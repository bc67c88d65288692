// Balancers that each violate one rule on purpose, to test that the checker of the testbed reports the
// violation. The macro BROKEN_* selects the rule at compile time.
#include <algorithm>
#include <cstdlib>

#include "plain.hpp"

namespace meadowgauge::baselines {

EndpointIndex choose(std::span<const EndpointIndex> ready, State& s) {
#ifdef BROKEN_CRASH
  if (++s.request_counter > 150) std::_Exit(0);
#endif
#ifdef BROKEN_SLOW_START
  // Overloads the server that started last with all requests.
  return *std::max_element(ready.begin(), ready.end(), [&](EndpointIndex a, EndpointIndex b) {
    return s.servers[position_of(a)].up_since_ms < s.servers[position_of(b)].up_since_ms;
  });
#else
  return ready[s.random_below(ready.size())];
#endif
}
#ifdef BROKEN_DUPLICATE
const int max_retries = 2;
#else
const int max_retries = 0;
#endif
const Flaws flaws{
#ifdef BROKEN_LOST
    .loses_requests = true,
#endif
#ifdef BROKEN_DUPLICATE
    .retries_non_idempotent = true,
#endif
#ifdef BROKEN_DRAINS
    .ignores_drains = true,
#endif
};

}  // namespace meadowgauge::baselines
