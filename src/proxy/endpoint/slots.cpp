#include "proxy/endpoint/slots.hpp"

#include <algorithm>

namespace meadowgauge::proxy {

EndpointIndex EndpointSlots::find(const std::string& name) const {
  auto it = by_name_.find(name);
  return it == by_name_.end() ? no_endpoint : it->second;
}

// Reuses spare indices first: otherwise the vectors indexed by endpoint would grow with every new server
// name.
EndpointIndex EndpointSlots::add(const std::string& name) {
  auto endpoint = static_cast<EndpointIndex>(slots_.size());
  if (spare_.empty()) {
    slots_.emplace_back();
  } else {
    endpoint = spare_.back();
    spare_.pop_back();
  }
  slot(endpoint) = Slot{};
  slot(endpoint).name = name;
  by_name_.emplace(name, endpoint);
  return endpoint;
}

EndpointIndex EndpointSlots::endpoint_at(const std::string& address) const {
  auto it = by_address_.find(address);
  return it == by_address_.end() ? no_endpoint : it->second;
}

bool EndpointSlots::update(EndpointIndex endpoint, const std::string& address, double started_at_ms,
                           bool active) {
  auto& endpoint_slot = slot(endpoint);
  auto dial_address = address.empty() ? endpoint_slot.dial_address : transport::Address::parse(address);
  bool process_changed =
      dial_address != endpoint_slot.dial_address || started_at_ms != endpoint_slot.started_at_ms;
  if (process_changed) ++endpoint_slot.generation;
  endpoint_slot.dial_address = dial_address;
  endpoint_slot.started_at_ms = started_at_ms;
  endpoint_slot.active = active;
  endpoint_slot.listed = true;
  if (!address.empty()) {
    release_address(endpoint);
    endpoint_slot.address = address;
    by_address_[address] = endpoint;
  }
  return process_changed;
}

void EndpointSlots::set_manual_drain(EndpointIndex endpoint, bool drained) {
  auto& endpoint_slot = slot(endpoint);
  endpoint_slot.manually_drained = drained;
  if (!drained) ++endpoint_slot.generation;
}

bool EndpointSlots::remove(EndpointIndex endpoint) {
  auto& endpoint_slot = slot(endpoint);
  if (!endpoint_slot.listed) return false;
  endpoint_slot.listed = false;
  release_address(endpoint);
  if (std::find(removed_.begin(), removed_.end(), endpoint) == removed_.end()) removed_.push_back(endpoint);
  return true;
}

// No effect if another server is listed at the address by now.
void EndpointSlots::release_address(EndpointIndex endpoint) {
  if (endpoint_at(slot(endpoint).address) == endpoint) by_address_.erase(slot(endpoint).address);
}

void EndpointSlots::reclaim(const std::function<bool(EndpointIndex endpoint)>& in_use) {
  std::erase_if(removed_, [&](EndpointIndex endpoint) {
    const auto& endpoint_slot = slot(endpoint);
    if (endpoint_slot.listed) return true;  // listed again after its removal
    if (in_use(endpoint)) return false;
    by_name_.erase(endpoint_slot.name);
    spare_.push_back(endpoint);
    return true;
  });
}

std::size_t EndpointSlots::listed_count() const {
  return static_cast<std::size_t>(
      std::count_if(slots_.begin(), slots_.end(), [](const Slot& candidate) { return candidate.listed; }));
}

bool EndpointSlots::accepts_attempts(EndpointIndex endpoint) const {
  const auto& endpoint_slot = slot(endpoint);
  return endpoint_slot.listed && endpoint_slot.active && !endpoint_slot.manually_drained;
}

std::optional<SlotInvariant> EndpointSlots::broken_invariant() const {
  if (by_name_.size() + spare_.size() != slots_.size()) return SlotInvariant::index_is_assigned_or_spare;
  for (const auto& [name, endpoint] : by_name_)
    if (slot(endpoint).name != name) return SlotInvariant::name_maps_to_its_slot;
  for (const auto& [address, endpoint] : by_address_) {
    if (!slot(endpoint).listed) return SlotInvariant::address_is_of_a_listed_server;
    if (slot(endpoint).address != address) return SlotInvariant::address_maps_to_its_slot;
  }
  for (auto endpoint : spare_)
    if (slot(endpoint).listed) return SlotInvariant::spare_index_is_unlisted;
  return {};
}

std::string_view text_of(SlotInvariant invariant) {
  switch (invariant) {
    case SlotInvariant::index_is_assigned_or_spare:
      return "each endpoint index is either assigned or spare";
    case SlotInvariant::name_maps_to_its_slot:
      return "each server name maps to the slot of that name";
    case SlotInvariant::address_is_of_a_listed_server:
      return "each known address is that of a listed server";
    case SlotInvariant::address_maps_to_its_slot:
      return "each known address maps to the slot of that address";
    case SlotInvariant::spare_index_is_unlisted:
      return "no spare index is listed";
  }
  return "";
}

}  // namespace meadowgauge::proxy
