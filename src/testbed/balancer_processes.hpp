// Starts, signals, monitors and restarts the balancer processes of one run. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "testbed/address_plan.hpp"
#include "testbed/balancer_lifecycle.hpp"
#include "testbed/experiment.hpp"
#include "testbed/process.hpp"

namespace meadowgauge::testbed {

// Resources used by a balancer, over all of its processes that have exited.
struct BalancerUsage {
  int tier = 0, balancer = 0;
  double cpu_ms = 0;  // processor time
  long peak_kb = 0;   // maximum resident set size, KiB
  std::string log;    // path of the log file
};

class BalancerProcesses {
 public:
  // Called when a balancer becomes unavailable or available again, so that clients avoid it or use it.
  using AvailabilitySink = std::function<void(int tier, int balancer, bool up)>;
  // Returns the initial endpoint list of a balancer.
  using EndpointList = std::function<std::string(int tier, int balancer)>;

  struct Placement {
    std::string folder;  // for configurations and logs; must exist
    int first_cpu = -1;  // pins each process to a core of its own, starting with this core; -1: no pinning
  };

  // Writes the configuration files; starts nothing. `experiment` and `build` outlive this object.
  BalancerProcesses(const Experiment& experiment, const BuildSpec& build, std::uint64_t seed,
                    const AddressPlan& addresses, Placement placement, const EndpointList& endpoint_list);

  // Starts all processes and waits until they are ready. Throws std::system_error if a process cannot be
  // started and std::runtime_error if it does not become ready. This process must have a single thread,
  // because it forks.
  void start_all();
  // Applies the actions that are due and handles exits and restarts. Times are ms on the run's clock, and the
  // run started at `begin_ms`.
  void poll(double begin_ms, double now_ms, const AvailabilitySink& on_availability);
  // Kills all processes and waits for their exit.
  void stop_all();

  // Valid after stop_all().
  [[nodiscard]] std::vector<BalancerUsage> usage() const;
  [[nodiscard]] std::vector<BalancerExit>& exits() { return exits_; }
  [[nodiscard]] std::vector<BalancerPause>& pauses() { return pauses_; }

 private:
  struct Balancer {
    int tier, balancer;
    Process process;
    BalancerLifecycle lifecycle{};
    bool starting = false;  // restarted and not ready yet
  };
  [[nodiscard]] Process::Options process_options(int tier, int balancer, const std::string& endpoint_list,
                                                 int cpu);
  // Writes the TOML configuration of a balancer of the first tier; returns its path.
  std::string write_config_file(int balancer, const std::vector<int>& members);
  // Applies one action to a process: signals it, and reports it as unavailable if it will exit.
  void apply(Balancer& balancer, const Action& action, double begin_ms, double now_ms,
             const AvailabilitySink& on_availability);
  // Records the start or the end of a pause for the history.
  void record_pause(const Balancer& balancer, BalancerLifecycle::Signal signal, double now_ms);
  // Handles one process: kills an overdue shutdown, records an exit, restarts, and reports readiness.
  void watch(Balancer& balancer, double now_ms, const AvailabilitySink& on_availability);

  const Experiment& experiment_;
  const BuildSpec& build_;
  std::uint64_t seed_;
  AddressPlan addresses_;
  std::string folder_;
  std::vector<Balancer> balancers_;
  std::vector<Action> actions_;  // those on balancers, sorted by time
  std::size_t next_action_ = 0;
  std::vector<BalancerExit> exits_;
  std::vector<BalancerPause> pauses_;
};

}  // namespace meadowgauge::testbed
