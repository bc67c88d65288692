// `meadowgauge-testbed fault`: one relay with the faults of a plan, and a command socket to change the plan.
#pragma once

#include <atomic>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace meadowgauge::testbed {

struct FaultRelayOptions {
  std::string listen, to, control;      // addresses with ports; control empty: none
  std::vector<std::string> injections;  // in the form that FaultInjection::parse() reads
  std::uint64_t seed = 1;
};

// Relays until `stop` is set; returns the exit status. Writes to `out` the listening addresses and each
// injected fault. Throws std::runtime_error for invalid options, before it listens, and std::system_error if
// it cannot listen.
//
// Commands, a line each, answered with lines that end with `ok` or `no: why`:
//   inject TEXT     adds a fault; its times count from now
//   clear           removes all faults; faults already injected into connections keep their effect
//   status          connections, bytes in each direction, injected faults with their positions
int run_fault_relay(const FaultRelayOptions& options, std::ostream& out, const std::atomic<bool>& stop);

}  // namespace meadowgauge::testbed
