// Compares the members' configurations by their digests. An instance lends, borrows and raises its shares
// only while the configurations agree. No I/O; times are in ms by this instance's clock.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet/config.hpp"
#include "membership/member_table.hpp"

namespace meadowgauge::fleet {

// Result of compare_configs().
struct ConfigAgreement {
  bool all_agree = true;             // the newest state of every listed member has this instance's digest
  bool live_member_differs = false;  // a member that is alive or suspected has a different digest
};

// Compares the digest in each member's newest state with `config_digest`, which is this instance's digest.
ConfigAgreement compare_configs(const membership::MemberTable& members, std::uint64_t config_digest,
                                double now_ms);

// Returns the quotas that `peer` offers; empty unless the peer is alive and its digest is `config_digest`.
std::vector<membership::Quota> usable_offer(const membership::MemberTable& members,
                                            membership::PeerIndex peer, std::uint64_t config_digest,
                                            double now_ms);

// Returns whether `next` changes a setting that applies only from a start: name, listen or lease_ms.
bool requires_restart(const FleetConfig& in_use, const FleetConfig& next);
// Returns `next` with name, listen, gossip timing and lease_ms taken from the configuration in use.
FleetConfig with_start_values(const FleetConfig& in_use, const FleetConfig& next);

}  // namespace meadowgauge::fleet
