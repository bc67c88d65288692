// The fleet's part of the metrics. The names are a stable interface, listed in docs/operate/fleet.md.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "fleet/shared_limits.hpp"
#include "membership/datagram_socket.hpp"
#include "membership/member_table.hpp"
#include "program/lease_exchange.hpp"

namespace meadowgauge::program {

// The objects and counts that the metrics are read from; the references are used only during the call.
struct FleetMetricsSource {
  const membership::MemberTable& members;
  const membership::DatagramSocket& socket;
  const fleet::SharedLimits& limits;
  const LeaseExchange& leases;
  std::size_t ejected_servers;
  std::uint64_t rejected_requests;
};

// Returns the names and values of the metrics at `now_ms`.
std::vector<std::pair<std::string, double>> fleet_metrics(const FleetMetricsSource& source, double now_ms);

}  // namespace meadowgauge::program
