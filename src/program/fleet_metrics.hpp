// The fleet's part of the metrics. The names are an interface: docs/operate/fleet.md has them.
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

// What the metrics are read from; valid during the call.
struct FleetMetricsSource {
  const membership::MemberTable& members;
  const membership::DatagramSocket& socket;
  const fleet::SharedLimits& limits;
  const LeaseExchange& leases;
  std::size_t ejected_servers;
  std::uint64_t rejected_requests;
};

// Names and values as of `now_ms`.
std::vector<std::pair<std::string, double>> fleet_metrics(const FleetMetricsSource& source, double now_ms);

}  // namespace meadowgauge::program
