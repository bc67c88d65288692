#include "plain.hpp"

namespace meadowgauge::baselines {

// The server with the fewest own requests out, drawn among equals; one repeat where nothing may have run.
EndpointIndex choose(std::span<const EndpointIndex> ready, State& s) {
  EndpointIndex best = no_endpoint;
  std::size_t equals = 0;
  for (EndpointIndex i : ready) {
    int out = s.servers[position_of(i)].in_flight;
    int least = best == no_endpoint ? out + 1 : s.servers[position_of(best)].in_flight;
    if (out < least) equals = 0;
    if (out <= least && s.below(++equals) == 0) best = i;
  }
  return best;
}
const int most_repeats = 1;
const Flaws flaws;

}  // namespace meadowgauge::baselines
