#include "testbed/experiment.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "testbed/model/random.hpp"

namespace meadowgauge::testbed {

namespace {
constexpr double checker_slack_ms = 50;  // maximum scheduling delay of the testbed on a loaded machine
}

std::vector<int> Experiment::targets_of(std::size_t fault_index, std::uint64_t seed) const {
  const auto& fault = faults[fault_index];
  const auto& tier = tiers[static_cast<std::size_t>(fault.tier)];
  if (!fault.targets.empty()) return fault.targets;
  int count = fault.targets_balancers() ? tier.balancers : tier.servers;
  std::vector<int> drawn(static_cast<std::size_t>(count));
  std::iota(drawn.begin(), drawn.end(), 0);
  if (fault.drawn_share <= 0)
    return fault.kind == FaultSpec::Kind::rolling_restart ? drawn : std::vector<int>{0};
  Rng rng(derive_seed(seed, "fault", fault_index));
  std::shuffle(drawn.begin(), drawn.end(), rng);
  int drawn_count = std::clamp(static_cast<int>(std::lround(fault.drawn_share * count)), 1, count);
  drawn.resize(static_cast<std::size_t>(drawn_count));
  return drawn;
}

int Experiment::zone_of(int tier, int server) const {
  return server % static_cast<int>(tiers[static_cast<std::size_t>(tier)].zones.size());
}

Contract Experiment::contract(bool with_fleet) const {
  Contract contract{.request_classes = request_classes,
                    .drain_grace_ms = drain_grace_ms,
                    .slack_ms = checker_slack_ms,
                    .servers = {}};
  for (const auto& tenant : tenants) contract.tenants.push_back(tenant.name);
  if (with_fleet && fleet) contract.limits = fleet->limits;
  for (std::size_t i = 0; i < tiers.size(); ++i) {
    auto& placements = contract.servers.emplace_back();
    for (int s = 0; s < tiers[i].servers; ++s)
      placements.push_back({zone_of(static_cast<int>(i), s), tiers[i].block > 0 ? s / tiers[i].block : -1});
  }
  return contract;
}

}  // namespace meadowgauge::testbed
