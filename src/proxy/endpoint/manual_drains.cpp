#include "proxy/endpoint/manual_drains.hpp"

namespace meadowgauge::proxy {

void ManualDrains::record_process(const std::string& name, const Process& process) {
  std::erase_if(by_address_, [&](const auto& entry) { return entry.second.name == name; });
  by_address_[process.address] = {.name = name, .started_ms = process.started_ms};
}

bool ManualDrains::is_drained(const protocol::EndpointListEntry& listed) {
  if (names_.empty()) return false;
  if (names_.contains(listed.name)) {
    if (!listed.dial.empty())
      record_process(listed.name, {.address = listed.dial, .started_ms = listed.started_ms});
    return true;
  }
  if (listed.dial.empty())
    return aliases_.contains(listed.name);  // the address is unchanged, so a known alias holds
  auto it = by_address_.find(listed.dial);
  if (it == by_address_.end() || it->second.started_ms != listed.started_ms) {
    aliases_.erase(listed.name);
    return false;
  }
  aliases_[listed.name] = it->second.name;
  return true;
}

std::vector<ManualDrains::Change> ManualDrains::set(const std::set<std::string>& names) {
  std::vector<Change> changes;
  for (const auto& name : names_)
    if (!names.contains(name)) changes.push_back({.name = name, .drained = false});
  for (const auto& [alias, name] : aliases_)
    if (!names.contains(name) && !names.contains(alias)) changes.push_back({.name = alias, .drained = false});
  for (const auto& name : names)
    if (!names_.contains(name)) changes.push_back({.name = name, .drained = true});
  auto is_undrained = [&](const std::string& name) { return !names.contains(name); };
  std::erase_if(aliases_, [&](const auto& alias) { return is_undrained(alias.second); });
  std::erase_if(by_address_, [&](const auto& entry) { return is_undrained(entry.second.name); });
  names_ = names;
  return changes;
}

}  // namespace meadowgauge::proxy
