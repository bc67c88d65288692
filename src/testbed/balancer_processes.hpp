// Starts, signals, watches and restarts the balancer processes of one run. Used by one thread.
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

// Resources used by a balancer, over all its processes that have exited.
struct BalancerUsage {
  int tier = 0, balancer = 0;
  double cpu_ms = 0;
  long peak_kb = 0;
  std::string log;  // path
};

class BalancerProcesses {
 public:
  // Called when the front balancer must remove a balancer or add it again.
  using AvailabilitySink = std::function<void(int tier, int balancer, bool up)>;
  // Returns the initial endpoint list of a balancer.
  using EndpointList = std::function<std::string(int tier, int balancer)>;

  struct Placement {
    std::string folder;  // exists; for configurations and logs
    int first_cpu = -1;  // pins each process to a core of its own, from this core on; -1: no pinning
  };

  // Writes the configurations. Experiment and build outlive the processes.
  BalancerProcesses(const Experiment& experiment, const BuildSpec& build, std::uint64_t seed,
                    const AddressPlan& addresses, Placement placement, const EndpointList& endpoint_list);

  // Starts all processes and waits until they are ready. Throws std::system_error if one cannot be started
  // and std::runtime_error if one does not become ready. Requires that this process has one thread.
  void start_all();
  // Carries out the actions that are due; times are ms on the run's clock, and the run began at `begin_ms`.
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
    bool starting = false;  // restarted, not ready yet
  };
  [[nodiscard]] Process::Options process_options(int tier, int balancer, const std::string& endpoint_list,
                                                 int cpu);
  // Writes the operator's file of a balancer of the first tier; returns the path.
  std::string write_config_file(int balancer, const std::vector<int>& members);
  void apply(Balancer& balancer, const Action& action, double begin_ms, double now_ms,
             const AvailabilitySink& on_availability);
  void record_pause(const Balancer& balancer, BalancerLifecycle::Signal signal, double now_ms);
  void watch(Balancer& balancer, double now_ms, const AvailabilitySink& on_availability);

  const Experiment& experiment_;
  const BuildSpec& build_;
  std::uint64_t seed_;
  AddressPlan addresses_;
  std::string folder_;
  std::vector<Balancer> balancers_;
  std::vector<Action> actions_;  // on balancers
  std::size_t next_action_ = 0;
  std::vector<BalancerExit> exits_;
  std::vector<BalancerPause> pauses_;
};

}  // namespace meadowgauge::testbed
