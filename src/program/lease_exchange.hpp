// Borrows and lends shares of the fleet's limits: sends lease requests, answers those of others.
#pragma once

#include <cstdint>

#include "fleet/datagram_budget.hpp"
#include "fleet/shared_limits.hpp"
#include "program/fleet_datagrams.hpp"

namespace meadowgauge::program {

// The limits decide what to borrow and to lend; this sends and receives, within a budget of datagrams.
class LeaseExchange {
 public:
  // Totals since the start.
  struct Counters {
    std::uint64_t requests_sent = 0;
    std::uint64_t grants_received = 0;
    std::uint64_t grants_sent = 0;
  };

  // Both outlive this.
  LeaseExchange(FleetDatagrams& datagrams, fleet::SharedLimits& limits)
      : datagrams_(datagrams), limits_(limits) {}

  // Requests and grants together; holds from the next datagram on.
  void set_datagrams_per_s(double limit) { datagrams_per_s_ = limit; }
  // Sends a round of requests when it is due: sooner where requests of clients were rejected.
  void tick(double now_ms);
  void receive_request(membership::PeerIndex peer, const membership::Datagram& request, double now_ms);
  void receive_grant(membership::PeerIndex peer, const membership::Datagram& grant, double now_ms);

  [[nodiscard]] const Counters& counters() const { return counters_; }
  // Datagrams that the budget did not allow.
  [[nodiscard]] std::uint64_t over_budget() const { return budget_.refused(); }

 private:
  void send_requests(double now_ms);
  [[nodiscard]] bool may_send(double now_ms) { return budget_.try_take(datagrams_per_s_, now_ms); }

  FleetDatagrams& datagrams_;
  fleet::SharedLimits& limits_;
  double datagrams_per_s_ = 0;
  fleet::DatagramBudget budget_;
  double next_requests_at_ms_ = 0;
  double next_urgent_requests_at_ms_ = 0;  // where requests of clients were rejected
  Counters counters_;
};

}  // namespace meadowgauge::program
