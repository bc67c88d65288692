// Invariants of the classes in src/fleet/. Tests check them after every step through broken_invariant().
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace meadowgauge::fleet {

enum class Invariant : std::uint8_t {
  // LimitQuota
  bucket_not_overdrawn,
  bucket_within_capacity,
  quarantined_share_unused,
  counterparties_bounded,
  counterparties_distinct,
  leases_not_dominated,
  // SharedLimits
  quota_count_matches_limits,
  limit_count_matches_file,
  quarantine_needs_address,
  quarantine_elapsed,
  unowned_share_unused,
  // OutlierVerdicts
  origins_bounded,
  sightings_bounded,
  own_health_not_received,
  suspects_need_own_origin,
  suspects_seen_after_onset,
  count
};

// A violated invariant: the offending value and the bound that it violates.
struct BrokenInvariant {
  Invariant invariant{};
  double value = 0;
  double bound = 0;
  std::string subject{};  // name or id of the object; empty where the object is unique
};

// One line of text; empty where all invariants hold.
std::string describe(const std::optional<BrokenInvariant>& broken);

}  // namespace meadowgauge::fleet
