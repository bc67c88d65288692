#include "proxy/endpoint/directory.hpp"

#include <algorithm>
#include <utility>

#include "protocol/request_hints.hpp"

namespace meadowgauge::proxy {

using protocol::EndpointList;
using protocol::EndpointListEntry;

namespace {

constexpr std::uint32_t server_id_mask = 0xffffff;  // server ids have 24 bits

// The index of `name` in `names`; -1 if absent.
int find_index(const std::vector<std::string>& names, std::string_view name) {
  auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

}  // namespace

void EndpointDirectory::use_cached(const EndpointList& cached, double now_ms) {
  apply(EndpointListUpdate::cached, registry_.merge(cached, now_ms), now_ms);
}

void EndpointDirectory::receive(EndpointList update, double now_ms) {
  const auto version = update.seq;
  const auto newest_version = registry_.newest_version();
  auto changes = registry_.merge(std::move(update), now_ms);
  if (version < newest_version) log_late_list(version, newest_version, changes);
  apply(changes.full ? EndpointListUpdate::full : EndpointListUpdate::delta, changes, now_ms);
}

void EndpointDirectory::log_late_list(std::int64_t version, std::int64_t newest_version,
                                      const EndpointList& changes) const {
  std::initializer_list<LogField> fields = {{"version", static_cast<double>(version)},
                                            {"newest_version", static_cast<double>(newest_version)},
                                            {"entries", static_cast<double>(changes.hosts.size())}};
  if (changes.full)
    log_(Level::warning,
         "discovery versions restarted: " + std::to_string(newest_version) + " -> " + std::to_string(version),
         fields);
  else
    log_(Level::info,
         "discovery list " + std::to_string(version) + " is older than " + std::to_string(newest_version) +
             ": " + std::to_string(changes.hosts.size()) + " entries applied",
         fields);
}

void EndpointDirectory::watch_failed(double now_ms) {
  policy_.update_endpoints(EndpointListUpdate::failed, {}, now_ms);
}

void EndpointDirectory::replace(const EndpointList& configured, double now_ms) {
  registry_ = EndpointRegistry();
  apply(EndpointListUpdate::full, registry_.merge(configured, now_ms), now_ms);
}

void EndpointDirectory::apply(EndpointListUpdate kind, const EndpointList& list, double now_ms) {
  entries_.clear();
  std::vector<bool> seen(upstreams_.endpoints().size());
  for (const auto& listed : list.hosts) apply(listed, seen);
  if (kind != EndpointListUpdate::delta)
    for (std::size_t i = 0; i < seen.size(); ++i)
      if (!seen[i]) upstreams_.remove(static_cast<EndpointIndex>(i));
  policy_.update_endpoints(kind, entries_, now_ms);
  log_(Level::debug,
       std::string("endpoint list ").append(std::to_string(list.seq)).append(" applied, entries: ") +
           std::to_string(entries_.size()),
       {{"version", static_cast<double>(list.seq)}, {"entries", static_cast<double>(entries_.size())}});
}

void EndpointDirectory::apply(const EndpointListEntry& listed, std::vector<bool>& seen) {
  bool left = listed.health == EndpointListEntry::Health::left;
  EndpointIndex endpoint = left ? upstreams_.endpoints().find(listed.name) : upstreams_.index_of(listed.name);
  if (endpoint == no_endpoint) return;
  if (has_departed(listed, endpoint)) return remove_endpoint(endpoint);
  auto index = position_of(endpoint);
  if (index >= seen.size()) seen.resize(index + 1);
  seen[index] = true;
  bool active = listed.health == EndpointListEntry::Health::active;
  bool drained = manual_drains_.is_drained(listed);
  if (drained) upstreams_.set_manual_drain(endpoint, true);
  upstreams_.update_address(endpoint, listed.dial, listed.started_ms, active);
  set_server_id(endpoint, listed.name);
  entries_.push_back({.endpoint = endpoint,
                      .zone = find_index(settings_.zones, listed.zone),
                      .server_kind = find_index(settings_.server_kinds, listed.kind),
                      // A server without a block is a cell of its own, with a negative number.
                      .cell = listed.block >= 0 ? listed.block : -1 - static_cast<int>(endpoint),
                      .state = active ? EndpointState::ready : EndpointState::draining,
                      .weight = listed.weight,
                      .up_since_ms = listed.started_ms,
                      .manually_drained = drained,
                      .id = server_id(endpoint)});
}

// Only one process serves an address, so a server with a later start replaces the server listed there under
// an older name, even before a list removes that name. Otherwise requests to the older name would reach the
// new process before its slow start.
bool EndpointDirectory::has_departed(const EndpointListEntry& listed, EndpointIndex endpoint) {
  if (listed.health == EndpointListEntry::Health::left) return true;
  EndpointIndex other = upstreams_.endpoints().endpoint_at(listed.dial);
  if (other == no_endpoint || other == endpoint) return false;
  double other_started_ms = upstreams_.endpoints().started_at_ms(other);
  if (other_started_ms < listed.started_ms) remove_endpoint(other);
  return other_started_ms > listed.started_ms;
}

void EndpointDirectory::remove_endpoint(EndpointIndex endpoint) {
  upstreams_.remove(endpoint);
  entries_.push_back({.endpoint = endpoint, .state = EndpointState::gone});
}

void EndpointDirectory::set_server_id(EndpointIndex endpoint, const std::string& name) {
  auto index = position_of(endpoint);
  if (server_ids_.size() <= index) server_ids_.resize(index + 1);
  server_ids_[index] = static_cast<std::uint32_t>(protocol::stable_hash(name)) & server_id_mask;
}

void EndpointDirectory::set_manual_drains(const std::set<std::string>& names, double now_ms) {
  auto process_of = [this](const std::string& name) -> std::optional<ManualDrains::Process> {
    EndpointIndex endpoint = upstreams_.endpoints().find(name);
    if (endpoint == no_endpoint) return {};
    return ManualDrains::Process{.address = upstreams_.endpoints().address(endpoint),
                                 .started_ms = upstreams_.endpoints().started_at_ms(endpoint)};
  };
  for (const auto& change : manual_drains_.set(names, process_of)) {
    log_(Level::info,
         "endpoint " + change.name +
             (change.drained ? ": manual drain: off -> on" : ": manual drain: on -> off"),
         {{"endpoint", std::string_view(change.name)}, {"manual_drain", change.drained ? 1.0 : 0.0}});
    EndpointIndex endpoint = upstreams_.endpoints().find(change.name);
    if (endpoint == no_endpoint) continue;
    upstreams_.set_manual_drain(endpoint, change.drained);
    policy_.set_manual_drain(endpoint, change.drained, now_ms);
  }
}

void EndpointDirectory::evict_unlisted_drains() {
  manual_drains_.evict_unlisted([this](const std::string& name) { return is_listed(name); });
}

bool EndpointDirectory::is_listed(const std::string& name) const {
  EndpointIndex endpoint = upstreams_.endpoints().find(name);
  return endpoint != no_endpoint && upstreams_.endpoints().is_listed(endpoint);
}

std::vector<std::uint32_t> EndpointDirectory::listed_server_ids() const {
  std::vector<std::uint32_t> server_ids;
  for (std::size_t i = 0; i < server_ids_.size(); ++i)
    if (i < upstreams_.endpoints().size() && upstreams_.endpoints().is_listed(static_cast<EndpointIndex>(i)))
      server_ids.push_back(server_ids_[i]);
  return server_ids;
}

}  // namespace meadowgauge::proxy
