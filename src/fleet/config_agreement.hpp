// How the members' files compare with this instance's: a quota is lent and borrowed, and a larger share used,
// only among instances whose files agree. Values without I/O; times are ms by this instance's clock.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet/config.hpp"
#include "membership/member_table.hpp"

namespace meadowgauge::fleet {

// What compare_configs() found.
struct ConfigAgreement {
  bool all_agree = true;             // each listed member was last seen with this instance's digest
  bool live_member_differs = false;  // a member that is not gone has another one
};

// `config_digest` is this instance's own.
ConfigAgreement compare_configs(const membership::MemberTable& members, std::uint64_t config_digest,
                                double now_ms);

// What may be borrowed from `peer`: what it offers, as long as it is alive and its file agrees.
std::vector<membership::Quota> usable_offer(const membership::MemberTable& members,
                                            membership::PeerIndex peer, std::uint64_t config_digest,
                                            double now_ms);

// Whether `next` changes what holds from a start of the process: name, listen or lease_ms.
bool requires_restart(const FleetConfig& in_use, const FleetConfig& next);
// `next` with name, listen, gossip timing and lease_ms of the configuration in use.
FleetConfig with_start_values(const FleetConfig& in_use, const FleetConfig& next);

}  // namespace meadowgauge::fleet
