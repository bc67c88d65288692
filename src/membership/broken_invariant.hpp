// The invariants that MemberTable checks about itself, for tests after every step.
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
  state_of_its_member,
  state_of_current_incarnation,
  targets_listed,
  next_target_within_cycle,
  count
};

// An invariant that does not hold, with the value that breaks it and the value that it is compared with.
struct BrokenInvariant {
  Invariant invariant{};
  double value = 0;
  double bound = 0;
  std::string member{};  // name; empty where no single member is affected
};

// One line of text; empty where no invariant is broken.
std::string describe(const std::optional<BrokenInvariant>& broken);

}  // namespace meadowgauge::membership
