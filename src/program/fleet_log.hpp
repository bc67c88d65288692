// The log lines of one instance of a fleet.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/datagram_socket.hpp"
#include "membership/member_table.hpp"
#include "proxy/logger.hpp"
#include "transport/address.hpp"

namespace meadowgauge::program {

// Writes the log lines. Keeps the last logged states, because a state is logged only when it changes.
class FleetLog {
 public:
  explicit FleetLog(proxy::Logger log) : log_(std::move(log)) {}

  void disabled() const;
  void restart_needed() const;
  void limit_needs_restart(const std::string& limit_name) const;
  void reloaded(std::size_t member_count, std::size_t limit_count) const;
  void bound(const std::string& instance, const transport::Address& address) const;
  // Logs an error only if `reason` differs from that of the previous failure.
  void bind_failed(const transport::Address& address, const std::string& reason);
  void ejected_servers(std::size_t count) const;

  // Forgets all statuses. `slot_count` is the number of peer slots.
  void reset_statuses(std::size_t slot_count);
  // Logs a changed status. The first status of a member is logged unless it is `gone`.
  void update_status(membership::PeerIndex peer, const std::string& name, membership::MemberStatus status);
  // Sets whether the limits are in force, without logging.
  void set_limits_in_force(bool in_force) { limits_in_force_ = in_force; }
  // Logs when the limits come into force; the opposite change is not logged.
  void update_limits_in_force(bool in_force);
  // Logs one line for each reason for which datagrams were dropped since the last call.
  void drops(const membership::DatagramCounters& counters);
  void still_unbound(const transport::Address& address) const;

 private:
  using DropCounts = std::array<std::uint64_t, static_cast<std::size_t>(membership::DropReason::count)>;

  proxy::Logger log_;
  bool limits_in_force_ = true;
  std::string bind_error_;
  std::vector<std::optional<membership::MemberStatus>> statuses_;  // by peer slot; no value: not updated yet
  DropCounts drops_{};
};

}  // namespace meadowgauge::program
