#include "fleet/broken_invariant.hpp"

#include <array>
#include <sstream>
#include <string_view>

namespace meadowgauge::fleet {

namespace {

// By Invariant.
constexpr std::array<std::string_view, static_cast<std::size_t>(Invariant::count)> invariant_texts{
    "token bucket is overdrawn",
    "token bucket exceeds its capacity",
    "own share is used during the quarantine",
    "too many counterparties",
    "counterparty is listed twice",
    "lease is dominated by another one",
    "limits and quotas differ in number",
    "limits in force and limits of the file differ in number",
    "quarantine is set without an address, or missing with one",
    "share is owned before the quarantine's end",
    "unowned share is used",
    "too many origins",
    "too many sightings of an origin",
    "own unhealthy share was received from a peer",
    "suspect exists without an own origin",
    "suspect was seen failing before it was suspected",
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
