#include "membership/broken_invariant.hpp"

#include <array>
#include <sstream>
#include <string_view>

namespace meadowgauge::membership {

namespace {

// Indexed by Invariant.
constexpr std::array<std::string_view, static_cast<std::size_t>(Invariant::count)> invariant_texts{
    "name index does not contain each listed member exactly once",
    "name maps to another member's slot",
    "this instance is its own peer",
    "unused slot contains a member's state",
    "highest sequence is not marked as received",
    "slot contains the state of another member",
    "slot contains the state of another incarnation",
    "gossip target is not listed",
    "next gossip target is beyond the end of the cycle",
};

}  // namespace

std::string describe(const std::optional<BrokenInvariant>& broken) {
  if (!broken) return {};
  std::ostringstream text;
  text << invariant_texts[static_cast<std::size_t>(broken->invariant)] << ": value " << broken->value
       << ", bound " << broken->bound;
  if (!broken->member.empty()) text << ", member " << broken->member;
  return text.str();
}

}  // namespace meadowgauge::membership
