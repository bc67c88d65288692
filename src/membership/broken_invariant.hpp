// Invariants of MemberTable. Tests check them after every step through MemberTable::broken_invariant().
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace meadowgauge::membership {

enum class Invariant : std::uint8_t {
  names_indexed_once,
  name_leads_to_its_slot,
  self_not_a_peer,
  free_slot_empty,
  highest_sequence_received,
  state_matches_member,
  state_matches_incarnation,
  targets_listed,
  next_target_within_cycle,
  count
};

// A violated invariant: the offending value and the value that it was compared with.
struct BrokenInvariant {
  Invariant invariant{};
  double value = 0;
  double bound = 0;
  std::string member{};  // name; empty if the violation is not about one member
};

// One line of text; empty where all invariants hold.
std::string describe(const std::optional<BrokenInvariant>& broken);

}  // namespace meadowgauge::membership
