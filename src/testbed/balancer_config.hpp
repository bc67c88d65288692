// The configuration of a balancer under test: the JSON of GW_CONFIG and, if the experiment has a fleet, the
// operator's file in TOML. The operators' documentation fixes both forms.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testbed/experiment.hpp"

namespace meadowgauge::testbed {

// Returns the JSON text for GW_CONFIG. `endpoint_list`: the initial list as JSON; throws nlohmann's
// parse_error if it is invalid.
std::string balancer_config_json(const Experiment& experiment, const BuildSpec& build, int tier, int balancer,
                                 std::uint64_t seed, const std::string& endpoint_list);

// Addresses of a balancer of the first tier.
struct BalancerAddresses {
  std::string listen, discovery, datagrams;
  std::vector<std::string> peers;  // of each balancer, itself included, as this one knows them
};

// Returns the operator's file of a balancer of the first tier; requires an experiment with a fleet.
// `members`: the listed balancers; empty: all. A build without a fleet gets the same file without the fleet's
// tables.
std::string balancer_config_toml(const Experiment& experiment, const BuildSpec& build, int balancer,
                                 std::uint64_t seed, const BalancerAddresses& addresses,
                                 const std::vector<int>& members);

// Returns the number of balancers of the tier in this balancer's zone, itself included.
int balancers_in_zone(const TierSpec& tier, int balancer);
// Returns the tenant's share of all requests; 1 if all shares are 0.
double normalized_share(const Experiment& experiment, const TenantSpec& tenant);
// Returns the seed of a balancer in hexadecimal.
std::string balancer_seed(std::uint64_t seed, int tier, int balancer);

}  // namespace meadowgauge::testbed
