// Runs one experiment once: servers and load generator on threads of this process, balancers as processes of
// their own.
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

namespace meadowgauge::testbed {

// What a run produced, before any metric is made of it.
struct RunResult {
  std::string experiment, build;
  std::uint64_t seed = 0;
  double begin_ms = 0, duration_ms = 0;  // on the history's clock; as the experiment states it
  bool stopped = false;                  // before its end
  History history;
  Contract contract;
  Histogram send_delay;  // of the load generator, ms
  double load_cpu_ms = 0, servers_cpu_ms = 0;
  std::uint64_t connections = 0;  // that clients opened
  std::vector<BalancerUsage> balancers;
  std::vector<InjectedFault> injected_faults;
  std::uint64_t datagrams = 0, datagram_bytes = 0;  // between balancers
};

struct RunProgress {
  double at_ms = 0;  // from the begin of the run; negative before
  std::uint64_t sent = 0, answered = 0, succeeded = 0;
};

struct RunOptions {
  std::string folder;  // for logs and the balancers' configurations; made if it is not there
  bool pin = false;    // servers, load workers and balancers each on a core of their own
  std::function<void(const RunProgress&)> on_progress;  // a few times a second; may be empty
  std::function<bool()> stop_requested;                 // asked often; may be empty
};

// Blocks until the run is over. Throws std::runtime_error or std::system_error where something can't be
// started; all processes have ended when it returns or throws.
RunResult run_experiment(const Experiment& experiment, const BuildSpec& build, std::uint64_t seed,
                         const RunOptions& options);

}  // namespace meadowgauge::testbed
