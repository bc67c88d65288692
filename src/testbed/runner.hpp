// Runs one experiment once: servers and load generator run on threads of this process, each balancer runs as
// a child process.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "testbed/balancer_processes.hpp"
#include "testbed/experiment.hpp"
#include "testbed/history.hpp"
#include "testbed/model/fault_injection.hpp"
#include "testbed/model/histogram.hpp"
#include "transport/turn_times.hpp"

namespace meadowgauge::testbed {

// The records of a run, from which the metrics are computed.
struct RunResult {
  std::string experiment, build;
  std::uint64_t seed = 0;
  double begin_ms = 0, duration_ms = 0;  // start, on the history's clock; configured duration
  bool stopped = false;                  // ended early
  History history;
  Contract contract;
  Histogram send_delay;  // how late the load generator sent requests, ms
  double load_generator_cpu_ms = 0, servers_cpu_ms = 0;
  transport::TurnTimes load_generator_turns, servers_turns;  // the longest turns of the testbed's own loops
  std::uint64_t connections = 0;                             // opened by clients
  std::vector<BalancerUsage> balancers;
  std::vector<InjectedFault> injected_faults;
  std::uint64_t datagrams = 0, datagram_bytes = 0;  // between balancers
};

// Progress of a run, for display.
struct RunProgress {
  double at_ms = 0;  // since the start of the run; negative before the start
  std::uint64_t sent = 0, answered = 0, succeeded = 0;
};

// How to run an experiment.
struct RunOptions {
  std::string folder;  // for logs and the balancers' configurations; created if missing
  bool pin = false;    // pins servers, load workers and balancers to separate cores
  std::function<void(const RunProgress&)> on_progress;  // called about four times a second; may be empty
  std::function<bool()> stop_requested;  // polled; ends the run early when it returns true; may be empty
};

// Runs the experiment and blocks until its end. Throws std::runtime_error or std::system_error if a component
// cannot start; all processes have exited when this returns or throws.
RunResult run_experiment(const Experiment& experiment, const BuildSpec& build, std::uint64_t seed,
                         const RunOptions& options);

}  // namespace meadowgauge::testbed
