// The invariants that the values of src/fleet/ check about themselves, for tests after every step.
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
  one_quota_per_limit,
  file_limits_in_force,
  quarantine_needs_address,
  quarantine_elapsed,
  unowned_share_unused,
  // OutlierVerdicts
  origins_bounded,
  sightings_bounded,
  own_share_not_received,
  suspects_need_own_origin,
  suspects_seen_after_onset,
  count
};

// An invariant that does not hold, with the value that breaks it and the bound that the value must keep.
struct BrokenInvariant {
  Invariant invariant{};
  double value = 0;
  double bound = 0;
  std::string subject{};  // name or id of the object, where there are several
};

// One line of text; empty where no invariant is broken.
std::string describe(const std::optional<BrokenInvariant>& broken);

}  // namespace meadowgauge::fleet
