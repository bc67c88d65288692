// The fleet's tables in the operator's file: [fleet], [[fleet.peers]], [[limits.fleet]]. The keys are
// described in docs/operate/fleet.md.
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

// An instance of the fleet: an entry of [[fleet.peers]].
struct FleetMember {
  std::string name;
  transport::Address address;  // UDP; source and destination of its datagrams
  std::string zone;
  std::string region;
  double weight = 1;  // share of each limit, relative to the other members' weights
};

// The content of [fleet] and [[limits.fleet]], with the values derived from it.
struct FleetConfig {
  std::string name;           // this instance's name in `members`
  transport::Address listen;  // UDP
  membership::GossipTiming timing;
  bool verdicts = false;               // whether the instances eject servers together
  double lease_datagrams_per_s = 200;  // lease requests and grants; gossip is not counted
  std::vector<FleetMember> members;    // with this instance
  LimitTerms terms;
  std::vector<std::string> tenants;          // by their index
  std::vector<std::string> request_classes;  // by their index

  // Sets each limit's tenant and class index by the lists that the process started with. Returns the limits
  // with an unknown name; they match no request.
  std::vector<std::string> resolve_names(const std::vector<std::string>& tenants_at_start,
                                         const std::vector<std::string>& request_classes_at_start);
  // Covers the settings that all instances must share: names, weights, limits, lease.
  [[nodiscard]] std::uint64_t digest() const;
  // The admission bound of each limit as a line of text, for `check`.
  [[nodiscard]] std::vector<std::string> describe_bounds() const;
};

// Reads the fleet's tables. Problems are added to the reader's list.
class FleetConfigReader {
 public:
  // Reads one table of [[limits.fleet]]. To be called for all of them before read().
  void read_limit(settings::Reader& table);
  // Reads [fleet]; no value where the table is absent. `root` is the whole file's table; `tenants` and
  // `request_classes` are the file's names, in order.
  std::optional<FleetConfig> read(settings::Reader& root, const std::vector<std::string>& tenants,
                                  const std::vector<std::string>& request_classes);

 private:
  std::vector<Limit> limits_;
};

}  // namespace meadowgauge::fleet
