// Reads the fleet's tables of the configuration file: [fleet], [[fleet.peers]] and [[limits.fleet]].
// docs/operate/fleet.md describes the keys.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/limit.hpp"
#include "membership/member_table.hpp"
#include "settings/tree.hpp"
#include "transport/address.hpp"

namespace meadowgauge::fleet {

// One instance of the fleet, as listed in [[fleet.peers]].
struct FleetMember {
  std::string name;
  transport::Address address;  // UDP: the instance sends from and receives at this address
  std::string zone;
  std::string region;
  double weight = 1;  // share of each limit, relative to the other members' weights
};

// The settings in [fleet] and [[limits.fleet]], with the values derived from them.
struct FleetConfig {
  std::string name;           // this instance's name in `members`
  transport::Address listen;  // UDP: the address to bind
  membership::GossipTiming timing;
  bool verdicts = false;  // whether the instances share verdicts on servers and eject them together
  double lease_datagrams_per_s = 200;  // limit on lease requests and grants sent; excludes gossip
  std::vector<FleetMember> members;    // includes this instance
  LimitTerms terms;
  std::vector<std::string> tenants;          // names by tenant index
  std::vector<std::string> request_classes;  // names by request class index

  // Sets each limit's tenant and request class index from the names that the process started with. Returns
  // the names of the limits whose tenant or request class is unknown; these limits match no request.
  std::vector<std::string> resolve_names(const std::vector<std::string>& tenants_at_start,
                                         const std::vector<std::string>& request_classes_at_start);
  // Digest of the settings that must be equal at all instances: names, weights, limits and lease_ms.
  [[nodiscard]] std::uint64_t digest() const;
  // One line of text for each limit that states its admission bound, printed by `check`.
  [[nodiscard]] std::vector<std::string> describe_bounds() const;
};

// Reads the fleet's tables. Reports each error to the settings::Reader.
class FleetConfigReader {
 public:
  // Reads one table of [[limits.fleet]]. Must be called for every such table before read().
  void read_limit(settings::Reader& table);
  // Reads [fleet]; returns no value if the table is absent. `root` is the file's root table; `tenants` and
  // `request_classes` are the names that the file defines, by index.
  std::optional<FleetConfig> read(settings::Reader& root, const std::vector<std::string>& tenants,
                                  const std::vector<std::string>& request_classes);

 private:
  std::vector<Limit> limits_;
};

}  // namespace meadowgauge::fleet
