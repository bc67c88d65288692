// Borrows and lends shares of the fleet's limits: sends lease requests and answers those of other instances.
#pragma once

#include <cstdint>

#include "fleet/datagram_budget.hpp"
#include "fleet/shared_limits.hpp"
#include "program/fleet_datagrams.hpp"

namespace meadowgauge::program {

// Sends and receives leases within a budget of datagrams. fleet::SharedLimits decides what to borrow and
// lend.
class LeaseExchange {
 public:
  // Totals since the start of the process.
  struct Counters {
    std::uint64_t requests_sent = 0;
    std::uint64_t grants_received = 0;
    std::uint64_t grants_sent = 0;
  };

  // Both references outlive this object.
  LeaseExchange(FleetDatagrams& datagrams, fleet::SharedLimits& limits)
      : datagrams_(datagrams), limits_(limits) {}

  // Sets the budget for requests and grants together, in datagrams per second, from the next datagram on.
  void set_datagrams_per_s(double limit) { datagrams_per_s_ = limit; }
  // Sends a round of lease requests when due; rounds are more frequent after client requests were rejected.
  void tick(double now_ms);
  void receive_request(membership::PeerIndex peer, const membership::Datagram& request, double now_ms);
  void receive_grant(membership::PeerIndex peer, const membership::Datagram& grant, double now_ms);

  [[nodiscard]] const Counters& counters() const { return counters_; }
  // Number of datagrams not sent because the budget was exhausted.
  [[nodiscard]] std::uint64_t over_budget() const { return budget_.refused(); }

 private:
  void send_requests(double now_ms);
  [[nodiscard]] bool may_send(double now_ms) { return budget_.try_take(datagrams_per_s_, now_ms); }

  FleetDatagrams& datagrams_;
  fleet::SharedLimits& limits_;
  double datagrams_per_s_ = 0;
  fleet::DatagramBudget budget_;
  double next_requests_at_ms_ = 0;
  double next_urgent_requests_at_ms_ = 0;  // applies after client requests were rejected
  Counters counters_;
};

}  // namespace meadowgauge::program
