#include "proxy/endpoint/registry.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace meadowgauge::proxy {

using protocol::EndpointList;
using protocol::EndpointListEntry;

namespace {
// Lists of lower versions alone for so long: no delay lasts that long, so they are a new count.
constexpr double versions_began_anew_after_ms = 20000;
// What has left is remembered so that an older list does not bring it back; the oldest go first.
constexpr std::size_t most_servers = 20000;
}  // namespace

// Under one name and one start a server goes on from active to leaving to left; where versions can't tell
// which state is the newer one, it does not come back.
void EndpointRegistry::record(EndpointListEntry& listed, std::int64_t seq) {
  auto& known = servers_[listed.name];
  if (new_discovery_ && listed.health == EndpointListEntry::Health::active &&
      known.health == EndpointListEntry::Health::leaving && known.started_ms >= listed.started_ms)
    listed.health = EndpointListEntry::Health::leaving;
  known = {.seq = std::max(seq, known.seq), .started_ms = listed.started_ms, .health = listed.health};
}

// A drain is the later state of one start of a server, whatever the versions: an older list that tells it may
// be of a new count.
bool EndpointRegistry::is_newer(const EndpointListEntry& listed, std::int64_t seq) const {
  auto it = servers_.find(listed.name);
  if (it == servers_.end()) return newest_full_ < seq;
  const auto& known = it->second;
  bool there = known.health == EndpointListEntry::Health::active && known.seq >= newest_full_;
  return version_of(known) < seq || (there && listed.health == EndpointListEntry::Health::leaving &&
                                     listed.started_ms >= known.started_ms);
}

void EndpointRegistry::record_all(EndpointList& list) {
  for (auto& listed : list.hosts) record(listed, list.seq);
  newest_ = list.seq;
  if (list.full) newest_full_ = list.seq;
  new_discovery_ = false;
  older_since_ = {};
  older_list_ = {};
  forget();
}

EndpointList EndpointRegistry::take(EndpointList list, double now_ms) {
  if (list.seq >= newest_) {
    record_all(list);
    return list;
  }
  collect_older(list, now_ms);
  // One that came astray is followed by none so much later: this count goes on.
  if (older_list_ && now_ms - *older_since_ >= versions_began_anew_after_ms) return adopt(list.seq);
  // Of each server the newest state counts; a full list tells the state of all of them.
  EndpointList changes{.seq = list.seq, .full = false, .hosts = {}, .skipped = {}};
  if (list.full) {
    std::unordered_map<std::string_view, bool> named;
    for (const auto& listed : list.hosts) named[listed.name] = true;
    for (const auto& [name, known] : servers_)
      if (known.health != EndpointListEntry::Health::left && version_of(known) < list.seq &&
          !named.contains(name))
        changes.hosts.push_back(
            {.name = name, .dial = {}, .zone = {}, .kind = {}, .health = EndpointListEntry::Health::left});
  }
  for (auto& listed : list.hosts)
    if (is_newer(listed, list.seq)) changes.hosts.push_back(std::move(listed));
  for (auto& listed : changes.hosts) record(listed, list.seq);
  if (list.full) newest_full_ = std::max(newest_full_, list.seq);
  forget();
  return changes;
}

void EndpointRegistry::collect_older(const EndpointList& list, double now_ms) {
  if (!older_since_) older_since_ = now_ms;
  if (list.full) older_list_.emplace();
  if (!older_list_) return;
  for (const auto& listed : list.hosts)
    if (listed.health == EndpointListEntry::Health::left)
      older_list_->erase(listed.name);
    else
      older_list_->insert_or_assign(listed.name, listed);
}

EndpointList EndpointRegistry::adopt(std::int64_t seq) {
  EndpointList list{.seq = seq, .full = true, .hosts = {}, .skipped = {}};
  for (auto& [name, listed] : *older_list_) list.hosts.push_back(std::move(listed));
  begin_anew();
  record_all(list);
  return list;
}

void EndpointRegistry::begin_anew() {
  newest_ = newest_full_ = no_version;
  for (auto& [name, known] : servers_) known.seq = no_version;
  new_discovery_ = true;
  older_since_ = {};
  older_list_ = {};
}

void EndpointRegistry::forget() {
  if (servers_.size() <= most_servers) return;
  std::vector<std::pair<std::int64_t, std::string>> left;
  for (const auto& [name, known] : servers_)
    if (known.health == EndpointListEntry::Health::left || known.seq < newest_full_)
      left.emplace_back(known.seq, name);
  std::sort(left.begin(), left.end());
  left.resize(std::min(left.size(), servers_.size() - most_servers / 2));
  for (const auto& [seq, name] : left) servers_.erase(name);
}

}  // namespace meadowgauge::proxy
