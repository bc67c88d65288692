#include "proxy/endpoint/registry.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

namespace meadowgauge::proxy {

using protocol::EndpointList;
using protocol::EndpointListEntry;
using Health = EndpointListEntry::Health;

namespace {

// Longer than any delay of a list: if only lists with lower versions arrive for this time, discovery has
// restarted its versions.
constexpr double versions_restarted_after_ms = 20000;
// Limit of recorded servers. Departed servers stay recorded so that a late list does not add them again.
constexpr std::size_t max_servers = 20000;

}  // namespace

// --- Rules -----------------------------------------------------------------------------------------------

// Whether a recorded drain outweighs a listed active state. Within one start a server only goes from active
// to leaving to left. The first list of a new discovery can't be ordered by version, so a recorded drain
// holds unless the listed start is later.
bool EndpointRegistry::keeps_draining(const ServerState& known, const EndpointListEntry& listed) const {
  return first_list_pending_ && listed.health == Health::active && known.health == Health::leaving &&
         known.started_ms >= listed.started_ms;
}

// Whether a late list drains an active server. Within one start the drain is the later state even if its
// version is lower: the versions may have restarted.
bool EndpointRegistry::is_new_drain(const ServerState& known, const EndpointListEntry& listed) const {
  bool is_active = known.health == Health::active && known.version >= newest_full_version_;
  return is_active && listed.health == Health::leaving && listed.started_ms >= known.started_ms;
}

// Whether an entry of a late list is newer than the recorded state. An unknown server must be newer than the
// newest full list, which did not name the server.
bool EndpointRegistry::supersedes(const EndpointListEntry& listed, std::int64_t version) const {
  auto it = servers_.find(listed.name);
  if (it == servers_.end()) return newest_full_version_ < version;
  return effective_version(it->second) < version || is_new_drain(it->second, listed);
}

// The servers that a late full list removes: those that it does not name and whose recorded state is older.
EndpointList EndpointRegistry::implied_departures(const EndpointList& late_list) const {
  EndpointList departures{.seq = late_list.seq, .full = false, .hosts = {}, .skipped = {}};
  if (!late_list.full) return departures;
  std::unordered_set<std::string_view> named;
  for (const auto& listed : late_list.hosts) named.insert(listed.name);
  for (const auto& [name, known] : servers_)
    if (known.health != Health::left && effective_version(known) < late_list.seq && !named.contains(name))
      departures.hosts.push_back({.name = name, .dial = {}, .zone = {}, .kind = {}, .health = Health::left});
  return departures;
}

// Whether discovery has restarted its versions. A merely delayed list is followed by a newer one long before
// `versions_restarted_after_ms`. Without a full list among the late lists the endpoints are not known
// completely.
bool EndpointRegistry::versions_restarted(double now_ms) const {
  return late_entries_ && now_ms - *late_since_ms_ >= versions_restarted_after_ms;
}

// A full list states the state of every server, also of those that it does not name.
std::int64_t EndpointRegistry::effective_version(const ServerState& known) const {
  return std::max(known.version, newest_full_version_);
}

// --- Merging ---------------------------------------------------------------------------------------------

EndpointList EndpointRegistry::merge(EndpointList list, double now_ms) {
  if (list.seq >= newest_version_) {
    record_all(list);
    return list;
  }
  collect_late_entries(list, now_ms);
  if (versions_restarted(now_ms)) return adopt_late_lists(list.seq);
  return merge_late(std::move(list));
}

EndpointList EndpointRegistry::merge_late(EndpointList&& list) {
  EndpointList changes = implied_departures(list);
  for (auto& listed : list.hosts)
    if (supersedes(listed, list.seq)) changes.hosts.push_back(std::move(listed));
  for (auto& listed : changes.hosts) record(listed, list.seq);
  if (list.full) newest_full_version_ = std::max(newest_full_version_, list.seq);
  evict_departed();
  return changes;
}

void EndpointRegistry::record(EndpointListEntry& listed, std::int64_t version) {
  auto& known = servers_[listed.name];
  if (keeps_draining(known, listed)) listed.health = Health::leaving;
  known = {
      .version = std::max(version, known.version), .started_ms = listed.started_ms, .health = listed.health};
}

void EndpointRegistry::record_all(EndpointList& list) {
  for (auto& listed : list.hosts) record(listed, list.seq);
  newest_version_ = list.seq;
  if (list.full) newest_full_version_ = list.seq;
  first_list_pending_ = false;
  late_since_ms_ = {};
  late_entries_ = {};
  evict_departed();
}

void EndpointRegistry::collect_late_entries(const EndpointList& list, double now_ms) {
  if (!late_since_ms_) late_since_ms_ = now_ms;
  if (list.full) late_entries_.emplace();
  if (!late_entries_) return;
  for (const auto& listed : list.hosts)
    if (listed.health == Health::left)
      late_entries_->erase(listed.name);
    else
      late_entries_->insert_or_assign(listed.name, listed);
}

EndpointList EndpointRegistry::adopt_late_lists(std::int64_t version) {
  EndpointList list{.seq = version, .full = true, .hosts = {}, .skipped = {}};
  for (auto& [name, listed] : *late_entries_) list.hosts.push_back(std::move(listed));
  restart_versions();
  record_all(list);
  return list;
}

void EndpointRegistry::restart_versions() {
  newest_version_ = newest_full_version_ = no_version;
  for (auto& [name, known] : servers_) known.version = no_version;
  first_list_pending_ = true;
  late_since_ms_ = {};
  late_entries_ = {};
}

// Evicts the oldest departed servers first, until half of `max_servers` are left.
void EndpointRegistry::evict_departed() {
  if (servers_.size() <= max_servers) return;
  std::vector<std::pair<std::int64_t, std::string>> departed;
  for (const auto& [name, known] : servers_)
    if (known.health == Health::left || known.version < newest_full_version_)
      departed.emplace_back(known.version, name);
  std::sort(departed.begin(), departed.end());
  departed.resize(std::min(departed.size(), servers_.size() - max_servers / 2));
  for (const auto& [version, name] : departed) servers_.erase(name);
}

}  // namespace meadowgauge::proxy
