// Records the newest state of each listed server. Endpoint lists may arrive late, out of order, or from a
// discovery that has restarted its versions. Does no I/O; times are passed in, in ms.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "protocol/endpoint_list.hpp"

namespace meadowgauge::proxy {

// Merges endpoint lists by version. A late list is one with a version below the newest received.
class EndpointRegistry {
 public:
  // Records a list and returns the changes to apply: a list at or above the newest version as it is; of a
  // late list only the entries that supersede the recorded state; once the versions count as restarted, the
  // late lists received since then, merged into a full list.
  protocol::EndpointList merge(protocol::EndpointList list, double now_ms);
  // The versions of later lists are independent of the previous ones, because discovery has changed. Recorded
  // drains hold in the first list of the new discovery; its later lists can end them.
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

  // Rules for late lists, deltas and restarted versions; the reasons are given at the definitions.
  [[nodiscard]] bool keeps_draining(const ServerState& known,
                                    const protocol::EndpointListEntry& listed) const;
  [[nodiscard]] bool is_new_drain(const ServerState& known, const protocol::EndpointListEntry& listed) const;
  [[nodiscard]] bool supersedes(const protocol::EndpointListEntry& listed, std::int64_t version) const;
  [[nodiscard]] protocol::EndpointList implied_departures(const protocol::EndpointList& late_list) const;
  [[nodiscard]] bool versions_restarted(double now_ms) const;

  // The version up to which the server's state is known.
  [[nodiscard]] std::int64_t effective_version(const ServerState& known) const;
  protocol::EndpointList merge_late(protocol::EndpointList&& list);
  void record(protocol::EndpointListEntry& listed, std::int64_t version);
  void record_all(protocol::EndpointList& list);
  void collect_late_entries(const protocol::EndpointList& list, double now_ms);
  protocol::EndpointList adopt_late_lists(std::int64_t version);
  void evict_departed();

  static constexpr std::int64_t no_version = INT64_MIN;

  std::unordered_map<std::string, ServerState> servers_;
  std::int64_t newest_version_ = no_version;
  std::int64_t newest_full_version_ = no_version;
  bool first_list_pending_ = false;  // no list of a new discovery has been received yet
  // When the first late list was received since the last list at or above the newest version.
  std::optional<double> late_since_ms_;
  // The merged entries of the late lists, from the last full one on; absent until a late list is full.
  std::optional<std::map<std::string, protocol::EndpointListEntry>> late_entries_;
};

}  // namespace meadowgauge::proxy
