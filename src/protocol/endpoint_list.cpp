#include "protocol/endpoint_list.hpp"

#include <algorithm>
#include <cmath>

namespace meadowgauge::protocol {
namespace {

// The value of the string member `name`; empty if absent or not a string.
std::string text_member(const Json& entry, std::string_view name) {
  const auto* v = entry.find(name);
  return v && v->text() ? *v->text() : std::string{};
}

// The value of the numeric member `name`; absent if missing or not a number.
std::optional<double> number_member(const Json& entry, std::string_view name) {
  const auto* v = entry.find(name);
  return v ? v->number() : std::nullopt;
}

// Parses one entry of the list into `host`. Returns an error text, which is empty for a valid entry.
std::string read_entry(const Json& entry, EndpointListEntry& host) {
  host.name = text_member(entry, "host");
  if (host.name.empty()) return "entry has no host";
  auto health = text_member(entry, "health");
  if (health == "active")
    host.health = EndpointListEntry::Health::active;
  else if (health == "leaving")
    host.health = EndpointListEntry::Health::leaving;
  else if (health == "left")
    host.health = EndpointListEntry::Health::left;
  else
    return host.name + ": unknown health '" + health + "'";
  host.dial = text_member(entry, "dial");
  if (host.dial.empty() && host.health != EndpointListEntry::Health::left)
    return host.name + ": no dial address";
  host.zone = text_member(entry, "site");
  host.kind = text_member(entry, "class");
  host.block = static_cast<int>(std::clamp(number_member(entry, "block").value_or(-1), -1.0, 1e9));
  host.weight = number_member(entry, "share").value_or(1);
  host.started_ms = number_member(entry, "born_ms").value_or(0);
  return {};
}

}  // namespace

std::optional<EndpointList> read_endpoint_list(const Json& value) {
  const auto* hosts = value.find("hosts");
  auto seq = number_member(value, "seq");
  if (!hosts || !hosts->list() || !seq || !(std::abs(*seq) < 9e15)) return {};
  EndpointList list;
  list.seq = static_cast<std::int64_t>(*seq);
  if (const auto* full = value.find("whole")) list.full = full->truth().value_or(false);
  for (const auto& entry : *hosts->list()) {
    EndpointListEntry host;
    if (auto problem = read_entry(entry, host); problem.empty())
      list.hosts.push_back(std::move(host));
    else
      list.skipped.push_back(std::move(problem));
  }
  return list;
}

}  // namespace meadowgauge::protocol
