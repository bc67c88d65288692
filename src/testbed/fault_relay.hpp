// `meadowgauge-testbed fault`: a relay that injects faults, and a command socket to change them.
#pragma once

#include <atomic>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace meadowgauge::testbed {

// The command's options.
struct FaultRelayOptions {
  std::string listen, to, control;      // addresses with ports; `control` empty: no command socket
  std::vector<std::string> injections;  // in the form that FaultInjection::parse() reads
  std::uint64_t seed = 1;
};

// Relays until `stop` is set; returns the exit status. Writes to `out` the listening addresses and each
// injected fault. Throws std::runtime_error for invalid options, before the relay listens, and
// std::system_error if the relay cannot listen.
//
// The command socket takes one command per line. The last line of a reply is `ok` or `no: REASON`:
//   inject TEXT     adds a fault; its times count from now
//   clear           removes all faults; faults already injected into connections keep their effect
//   status          shows connections, bytes in each direction, injected faults with their positions
int run_fault_relay(const FaultRelayOptions& options, std::ostream& out, const std::atomic<bool>& stop);

}  // namespace meadowgauge::testbed
