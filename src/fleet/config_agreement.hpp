// Compares the members' files by their digests: instances lend, borrow and raise their shares only among
// instances whose files agree. Values without I/O; times are ms by this instance's clock.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet/config.hpp"
#include "membership/member_table.hpp"

namespace meadowgauge::fleet {

// Result of compare_configs().
struct ConfigAgreement {
  bool all_agree = true;             // each listed member's newest state has this instance's digest
  bool live_member_differs = false;  // a member that is not gone has another digest
};

// `config_digest` is this instance's digest.
ConfigAgreement compare_configs(const membership::MemberTable& members, std::uint64_t config_digest,
                                double now_ms);

// The quotas that `peer` offers; none unless the peer is alive and its file agrees.
std::vector<membership::Quota> usable_offer(const membership::MemberTable& members,
                                            membership::PeerIndex peer, std::uint64_t config_digest,
                                            double now_ms);

// Whether `next` changes what holds from a start of the process: name, listen or lease_ms.
bool requires_restart(const FleetConfig& in_use, const FleetConfig& next);
// `next` with name, listen, gossip timing and lease_ms of the configuration in use.
FleetConfig with_start_values(const FleetConfig& in_use, const FleetConfig& next);

}  // namespace meadowgauge::fleet
