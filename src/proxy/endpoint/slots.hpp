// Servers and their small indices, as connections see them: where each is dialled, since when it runs, and
// whether new attempts may go there. Values only: no I/O and no clock. All times are in ms.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/types.hpp"
#include "transport/address.hpp"

namespace meadowgauge::proxy {

// Owns the names and addresses. An index stays a server's own from add() until reclaim() gives it to others.
// Functions that take an index expect one that add() has returned; the references that they return last until
// the next call that changes something.
class EndpointSlots {
 public:
  // The server's index; `no_endpoint` where it has none.
  [[nodiscard]] EndpointIndex find(const std::string& name) const;
  // Gives an index to a server that has none: one that was reclaimed, or else the next.
  EndpointIndex add(const std::string& name);
  // Who is listed at that address; `no_endpoint`: nobody.
  [[nodiscard]] EndpointIndex endpoint_at(const std::string& address) const;

  // The server is listed, at that address (empty: where it was) and with an incarnation that started then.
  // `active`: new attempts may go there. Returns whether another process is to be expected than before. An
  // address that can't be read leaves it without one: dial_address() is empty then.
  bool update(EndpointIndex endpoint, const std::string& address, double started_at_ms, bool active);
  // No new attempts go there whatever is listed, or may again. What was started anew while it was drained
  // makes its connections those of another process.
  void set_manual_drain(EndpointIndex endpoint, bool drained);
  // The server is listed no more. Returns whether it was.
  bool remove(EndpointIndex endpoint);
  // Takes back the indices of servers that were removed and are not `in_use`.
  void reclaim(const std::function<bool(EndpointIndex endpoint)>& in_use);

  // As many indices as there ever were at a time.
  [[nodiscard]] std::size_t size() const { return slots_.size(); }
  [[nodiscard]] std::size_t listed_count() const;
  [[nodiscard]] bool is_listed(EndpointIndex endpoint) const { return slot(endpoint).listed; }
  [[nodiscard]] const std::string& name(EndpointIndex endpoint) const { return slot(endpoint).name; }
  // As it is listed.
  [[nodiscard]] const std::string& address(EndpointIndex endpoint) const { return slot(endpoint).address; }
  // Where it is dialled; absent where no address that can be read was listed.
  [[nodiscard]] const std::optional<transport::Address>& dial_address(EndpointIndex endpoint) const {
    return slot(endpoint).dial_address;
  }
  // The start of its incarnation, as listed.
  [[nodiscard]] double started_at_ms(EndpointIndex endpoint) const { return slot(endpoint).started_at_ms; }
  // Counts the processes and addresses that it has had: a connection of an earlier generation leads to a
  // process that is gone or about to go.
  [[nodiscard]] int generation(EndpointIndex endpoint) const { return slot(endpoint).generation; }
  // Listed, active and not drained by an operator.
  [[nodiscard]] bool accepts_attempts(EndpointIndex endpoint) const;

  // Empty where all invariants hold, otherwise what is broken. For tests, after every step.
  [[nodiscard]] std::string broken_invariant() const;

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
  void release_address(EndpointIndex endpoint);

  std::vector<Slot> slots_;
  std::unordered_map<std::string, EndpointIndex> by_name_;
  std::unordered_map<std::string, EndpointIndex> by_address_;  // of listed servers
  std::vector<EndpointIndex> removed_;                         // to be reclaimed
  std::vector<EndpointIndex> spare_;                           // reclaimed
};

}  // namespace meadowgauge::proxy
