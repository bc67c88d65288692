#include "testbed/experiment_validation.hpp"

#include <algorithm>
#include <string>

namespace meadowgauge::testbed {

using settings::Reader;

namespace {

constexpr double max_attempts = 5e6;  // bounds the memory of the recorded history
constexpr std::size_t max_tiers = 6;

void check_downstream_calls(Reader& r, const Experiment& e) {
  bool any_calls = false;
  for (const auto& spec : e.request_classes) {
    if (spec.downstream_calls == 0) continue;
    any_calls = true;
    if (std::none_of(e.request_classes.begin(), e.request_classes.end(),
                     [&](const auto& other) { return other.name == spec.downstream_class; }))
      r.wrong("path_prefixes", "calls an undefined path prefix: " + spec.downstream_class);
  }
  if (any_calls && e.tiers.size() < 2) r.wrong("tiers", "need a second tier, which a path prefix calls");
}

void check_fault_targets(Reader& r, const Experiment& e) {
  for (const auto& fault : e.faults) {
    if (fault.tier >= static_cast<int>(e.tiers.size())) {
      r.wrong("faults", "name an undefined tier");
      continue;
    }
    const auto& tier = e.tiers[static_cast<std::size_t>(fault.tier)];
    int count = fault.targets_balancers() ? tier.balancers : tier.servers;
    for (int target : fault.targets)
      if (target >= count)
        r.wrong("faults",
                "name target " + std::to_string(target) + ", but the tier has " + std::to_string(count));
  }
}

void check_injections(Reader& r, const Experiment& e) {
  if (!e.injections.empty() &&
      std::none_of(e.tiers.begin(), e.tiers.end(), [](const auto& tier) { return tier.relays; }))
    r.wrong("strikes", "need a tier with relays = true");
  if (e.injections.size() > InjectionPlan::max_entries)
    r.wrong("strikes", "exceed the maximum of " + std::to_string(InjectionPlan::max_entries));
}

}  // namespace

void validate(Reader& r, const Experiment& e) {
  check_downstream_calls(r, e);
  if (e.tiers.size() > max_tiers) r.wrong("tiers", "exceed the maximum of " + std::to_string(max_tiers));
  check_fault_targets(r, e);
  check_injections(r, e);
  if (e.request_classes.empty()) r.wrong("path_prefixes", "must not be empty");
  if (e.tiers.empty()) r.wrong("tiers", "must not be empty");
  if (e.traffic.rate * e.seconds * (1 + e.retries.max_retries) > max_attempts)
    r.wrong("traffic", "exceeds 5 million attempts");
}

}  // namespace meadowgauge::testbed
