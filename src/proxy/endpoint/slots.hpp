// Assigns small indices to servers, and keeps the address, the start of the incarnation and the availability
// for new attempts of each server. Does no I/O and reads no clock. All times are in ms.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "policy/types.hpp"
#include "transport/address.hpp"

namespace meadowgauge::proxy {

// Invariants of EndpointSlots, checked by tests.
enum class SlotInvariant : std::uint8_t {
  index_is_assigned_or_spare,
  name_maps_to_its_slot,
  address_is_of_a_listed_server,
  address_maps_to_its_slot,
  spare_index_is_unlisted,
};
std::string_view text_of(SlotInvariant invariant);

// Owns the names and addresses. An index belongs to one server from add() until reclaim(). Functions that
// take an index expect one returned by add(); returned references are valid until the next non-const call.
class EndpointSlots {
 public:
  // The server's index, or `no_endpoint`.
  [[nodiscard]] EndpointIndex find(const std::string& name) const;
  // Assigns an index, if possible a reclaimed one. The server must not have an index yet.
  EndpointIndex add(const std::string& name);
  // The server listed at `address`, or `no_endpoint`.
  [[nodiscard]] EndpointIndex endpoint_at(const std::string& address) const;

  // Records a listed server. An empty `address` keeps the known address; a malformed `address` clears
  // dial_address().
  // `active`: new attempts are allowed. Returns true if the address or the incarnation has changed.
  bool update(EndpointIndex endpoint, const std::string& address, double started_at_ms, bool active);
  // Stops new attempts, or allows them again. The end of a drain starts a new generation, because the process
  // may have restarted during the drain.
  void set_manual_drain(EndpointIndex endpoint, bool drained);
  // Marks the server as no longer listed. Returns false if it was not listed.
  bool remove(EndpointIndex endpoint);
  // Frees the indices of removed servers that are not `in_use`.
  void reclaim(const std::function<bool(EndpointIndex endpoint)>& in_use);

  // Number of indices, including spare indices.
  [[nodiscard]] std::size_t size() const { return slots_.size(); }
  [[nodiscard]] std::size_t listed_count() const;
  [[nodiscard]] bool is_listed(EndpointIndex endpoint) const { return slot(endpoint).listed; }
  [[nodiscard]] const std::string& name(EndpointIndex endpoint) const { return slot(endpoint).name; }
  // The address as listed.
  [[nodiscard]] const std::string& address(EndpointIndex endpoint) const { return slot(endpoint).address; }
  // The parsed address; absent if the listed one is malformed.
  [[nodiscard]] const std::optional<transport::Address>& dial_address(EndpointIndex endpoint) const {
    return slot(endpoint).dial_address;
  }
  // The start of the server's incarnation, as listed.
  [[nodiscard]] double started_at_ms(EndpointIndex endpoint) const { return slot(endpoint).started_at_ms; }
  // Incremented when the server's process or address changes. A connection of an earlier generation leads to
  // a process that has stopped or is stopping.
  [[nodiscard]] int generation(EndpointIndex endpoint) const { return slot(endpoint).generation; }
  // Whether the server is listed, active and not drained by an operator.
  [[nodiscard]] bool accepts_attempts(EndpointIndex endpoint) const;

  // The first broken invariant, if any. For tests.
  [[nodiscard]] std::optional<SlotInvariant> broken_invariant() const;

 private:
  struct Slot {
    std::string name;
    std::string address;
    std::optional<transport::Address> dial_address;
    double started_at_ms = 0;
    int generation = 0;
    bool listed = false;
    bool active = true;  // as listed
    bool manually_drained = false;
  };
  [[nodiscard]] Slot& slot(EndpointIndex endpoint) { return slots_[position_of(endpoint)]; }
  [[nodiscard]] const Slot& slot(EndpointIndex endpoint) const { return slots_[position_of(endpoint)]; }
  // Removes the server from the index of addresses.
  void release_address(EndpointIndex endpoint);

  std::vector<Slot> slots_;
  std::unordered_map<std::string, EndpointIndex> by_name_;
  std::unordered_map<std::string, EndpointIndex> by_address_;  // of listed servers
  std::vector<EndpointIndex> removed_;                         // no longer listed, to be reclaimed
  std::vector<EndpointIndex> spare_;                           // reclaimed, to be assigned again
};

}  // namespace meadowgauge::proxy
