// The configuration of a balancer under test: the JSON file of GW_CONFIG and, if the experiment has a fleet,
// the operators' TOML file. Both formats are specified in the operators' documentation.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testbed/experiment.hpp"

namespace meadowgauge::testbed {

// Returns the JSON text for GW_CONFIG. `endpoint_list` is the initial list as JSON; throws
// nlohmann::json::parse_error if it is invalid.
std::string balancer_config_json(const Experiment& experiment, const BuildSpec& build, int tier, int balancer,
                                 std::uint64_t seed, const std::string& endpoint_list);

// Addresses of a balancer of the first tier.
struct BalancerAddresses {
  std::string listen, discovery, datagrams;
  std::vector<std::string> peers;  // by balancer, itself included: the address that this balancer sends to
};

// Returns the TOML text for a balancer of the first tier; the experiment must have a fleet. `members`: the
// balancers to list as peers; empty: all. For a build without a fleet, the fleet's tables are omitted.
std::string balancer_config_toml(const Experiment& experiment, const BuildSpec& build, int balancer,
                                 std::uint64_t seed, const BalancerAddresses& addresses,
                                 const std::vector<int>& members);

// Returns the number of balancers of the tier in this balancer's zone, itself included.
int balancers_in_zone(const TierSpec& tier, int balancer);
// Returns the tenant's share of all requests, 0 to 1; 1 if all shares are 0.
double normalized_share(const Experiment& experiment, const TenantSpec& tenant);
// Returns a balancer's random seed in hexadecimal, derived from the run's seed.
std::string balancer_seed(std::uint64_t seed, int tier, int balancer);

}  // namespace meadowgauge::testbed
