#include "fleet/broken_invariant.hpp"

#include <array>
#include <sstream>
#include <string_view>

namespace meadowgauge::fleet {

namespace {

// Indexed by Invariant.
constexpr std::array<std::string_view, static_cast<std::size_t>(Invariant::count)> invariant_texts{
    "token bucket is overdrawn",
    "token bucket exceeds its capacity",
    "own rate is above 0 during the quarantine",
    "too many counterparties",
    "counterparty is listed twice",
    "lease is dominated by another lease",
    "number of quotas differs from number of limits",
    "number of limits in force differs from number of limits in the file",
    "quarantine end is set without a bound address, or missing with a bound address",
    "own share is in use before the quarantine's end",
    "available rate exceeds the borrowed rate without ownership of the share",
    "too many origins",
    "too many sightings of an origin",
    "own unhealthy share was received from a peer",
    "server is suspected, but this instance has no sightings",
    "failing sighting of a suspected server is older than the suspicion",
};

}  // namespace

std::string describe(const std::optional<BrokenInvariant>& broken) {
  if (!broken) return {};
  std::ostringstream text;
  text << invariant_texts[static_cast<std::size_t>(broken->invariant)] << ": value " << broken->value
       << ", bound " << broken->bound;
  if (!broken->subject.empty()) text << ", subject " << broken->subject;
  return text.str();
}

}  // namespace meadowgauge::fleet
