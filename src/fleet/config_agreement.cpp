#include "fleet/config_agreement.hpp"

namespace meadowgauge::fleet {

using membership::MemberStatus;

ConfigAgreement compare_configs(const membership::MemberTable& members, std::uint64_t config_digest,
                                double now_ms) {
  ConfigAgreement agreement;
  for (auto peer : members.members()) {
    if (members.state(peer).config_digest == config_digest) continue;
    agreement.all_agree = false;
    if (members.status(peer, now_ms) != MemberStatus::gone) agreement.live_member_differs = true;
  }
  return agreement;
}

std::vector<membership::Quota> usable_offer(const membership::MemberTable& members,
                                            membership::PeerIndex peer, std::uint64_t config_digest,
                                            double now_ms) {
  const auto& state = members.state(peer);
  bool is_usable =
      members.status(peer, now_ms) == MemberStatus::alive && state.config_digest == config_digest;
  return is_usable ? state.lendable : std::vector<membership::Quota>{};
}

bool requires_restart(const FleetConfig& in_use, const FleetConfig& next) {
  return next.name != in_use.name || !(next.listen == in_use.listen) ||
         next.terms.lease_ms != in_use.terms.lease_ms;
}

FleetConfig with_start_values(const FleetConfig& in_use, const FleetConfig& next) {
  auto config = next;
  config.name = in_use.name;
  config.listen = in_use.listen;
  config.timing = in_use.timing;
  config.terms.lease_ms = in_use.terms.lease_ms;
  return config;
}

}  // namespace meadowgauge::fleet
