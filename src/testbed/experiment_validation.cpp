#include "testbed/experiment_validation.hpp"

#include <algorithm>
#include <string>

namespace meadowgauge::testbed {

using settings::Reader;

namespace {

constexpr double max_attempts = 5e6;  // limits the memory used by the recorded history
constexpr std::size_t max_tiers = 6;

void check_downstream_calls(Reader& reader, const Experiment& experiment) {
  bool has_calls = false;
  for (const auto& spec : experiment.request_classes) {
    if (spec.downstream_calls == 0) continue;
    has_calls = true;
    if (std::none_of(experiment.request_classes.begin(), experiment.request_classes.end(),
                     [&](const auto& other) { return other.name == spec.downstream_class; }))
      reader.report_problem("path_prefixes", "calls an undefined path prefix: " + spec.downstream_class);
  }
  if (has_calls && experiment.tiers.size() < 2)
    reader.report_problem("tiers", "need a second tier, because a path prefix has calls");
}

void check_fault_targets(Reader& reader, const Experiment& experiment) {
  for (const auto& fault : experiment.faults) {
    if (fault.tier >= static_cast<int>(experiment.tiers.size())) {
      reader.report_problem("faults", "name an undefined tier");
      continue;
    }
    const auto& tier = experiment.tiers[static_cast<std::size_t>(fault.tier)];
    int count = fault.targets_balancers() ? tier.balancers : tier.servers;
    for (int target : fault.targets)
      if (target >= count)
        reader.report_problem("faults", "name target " + std::to_string(target) + ", but the tier has " +
                                            std::to_string(count));
  }
}

void check_injections(Reader& reader, const Experiment& experiment) {
  if (!experiment.injections.empty() && std::none_of(experiment.tiers.begin(), experiment.tiers.end(),
                                                     [](const auto& tier) { return tier.relays; }))
    reader.report_problem("strikes", "need a tier with relays = true");
  if (experiment.injections.size() > InjectionPlan::max_entries)
    reader.report_problem("strikes", "exceed the maximum of " + std::to_string(InjectionPlan::max_entries));
}

}  // namespace

void validate(Reader& reader, const Experiment& experiment) {
  check_downstream_calls(reader, experiment);
  if (experiment.tiers.size() > max_tiers)
    reader.report_problem("tiers", "exceed the maximum of " + std::to_string(max_tiers));
  check_fault_targets(reader, experiment);
  check_injections(reader, experiment);
  if (experiment.request_classes.empty()) reader.report_problem("path_prefixes", "must not be empty");
  if (experiment.tiers.empty()) reader.report_problem("tiers", "must not be empty");
  if (experiment.traffic.rate * experiment.seconds * (1 + experiment.retries.max_retries) > max_attempts)
    reader.report_problem("traffic", "exceeds 5 million attempts");
}

}  // namespace meadowgauge::testbed
