#include "plain.hpp"

namespace meadowgauge::baselines {

// Chooses the server with the fewest requests of this balancer in flight; ties are broken at random. One
// retry of requests that are idempotent or have not executed.
EndpointIndex choose(std::span<const EndpointIndex> ready, State& s) {
  EndpointIndex best = no_endpoint;
  std::size_t equals = 0;
  for (EndpointIndex i : ready) {
    int in_flight = s.servers[position_of(i)].in_flight;
    int min_in_flight = best == no_endpoint ? in_flight + 1 : s.servers[position_of(best)].in_flight;
    if (in_flight < min_in_flight) equals = 0;
    if (in_flight <= min_in_flight && s.random_below(++equals) == 0) best = i;
  }
  return best;
}
const int max_retries = 1;
const Flaws flaws;

}  // namespace meadowgauge::baselines
