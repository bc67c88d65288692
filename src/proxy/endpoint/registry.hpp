// The newest state received of each listed server. Endpoint lists may arrive late, out of order, or from a
// discovery that has restarted its versions. Does no I/O; times are passed in, in ms.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "protocol/endpoint_list.hpp"

namespace meadowgauge::proxy {

class EndpointRegistry {
 public:
  // Records a list and returns the changes to apply. A list at or above the newest version is returned as it
  // is. Of an older list only the entries that supersede the recorded state are returned. Once the versions
  // have restarted, the older lists received since then are returned merged, as a full list.
  protocol::EndpointList merge(protocol::EndpointList list, double now_ms);
  // Discovery has changed, and its versions are independent of the previous ones. Recorded drains hold until
  // a later list of the new discovery revokes them.
  void restart_versions();

  // The newest version received; INT64_MIN before any.
  [[nodiscard]] std::int64_t newest_version() const { return newest_version_; }
  // Number of servers with a recorded state.
  [[nodiscard]] std::size_t remembered() const { return servers_.size(); }

 private:
  struct ServerState {
    std::int64_t version = 0;
    double started_ms = 0;
    protocol::EndpointListEntry::Health health = protocol::EndpointListEntry::Health::active;
  };

  // Rules for late, partial and restarted lists; their reasons stand at the definitions.
  [[nodiscard]] bool keeps_draining(const ServerState& known,
                                    const protocol::EndpointListEntry& listed) const;
  [[nodiscard]] bool is_new_drain(const ServerState& known, const protocol::EndpointListEntry& listed) const;
  [[nodiscard]] bool supersedes(const protocol::EndpointListEntry& listed, std::int64_t version) const;
  [[nodiscard]] protocol::EndpointList implied_departures(const protocol::EndpointList& late_list) const;
  [[nodiscard]] bool versions_restarted(double now_ms) const;

  [[nodiscard]] std::int64_t effective_version(const ServerState& known) const;
  protocol::EndpointList merge_late(protocol::EndpointList&& list);
  void record(protocol::EndpointListEntry& listed, std::int64_t version);
  void record_all(protocol::EndpointList& list);
  void collect_late(const protocol::EndpointList& list, double now_ms);
  protocol::EndpointList adopt_late_lists(std::int64_t version);
  void evict_departed();

  static constexpr std::int64_t no_version = INT64_MIN;

  std::unordered_map<std::string, ServerState> servers_;
  std::int64_t newest_version_ = no_version;
  std::int64_t newest_full_version_ = no_version;
  bool first_list_pending_ = false;  // of a new discovery
  // Lists below the newest version, received since the last one at or above it.
  std::optional<double> late_since_ms_;
  std::optional<std::map<std::string, protocol::EndpointListEntry>> late_entries_;  // set from a full list on
};

}  // namespace meadowgauge::proxy
