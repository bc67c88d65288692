// The schedule of a run: an experiment's faults as timed actions. The caller applies the actions that are
// due.
#pragma once

#include <cstdint>
#include <vector>

#include "testbed/experiment.hpp"

namespace meadowgauge::testbed {

// One step of a fault. Times are milliseconds from the start of the run.
struct Action {
  enum class Kind : std::uint8_t {
    // at a server
    stop,
    start_in_slow_start,
    announce_draining,
    announce_removed,
    announce_active,
    drain,
    slow,
    fail,
    silent,
    stall,
    // at discovery
    discovery_silent,
    // at a balancer process
    kill,
    terminate,
    pause,
    resume,
    reload  // `value`: the index of the fault with the new members
  };
  Kind kind = Kind::stop;
  double at_ms = 0;
  int tier = 0, target_index = 0;  // index of the server or balancer in its tier
  double value = 0;  // strength of the fault, 0 ends it; of stall, kill, terminate: end time, ms
  [[nodiscard]] bool targets_balancer() const { return kind >= Kind::kill; }
};

// Returns all actions of a run sorted by time. The same seed gives the same actions.
std::vector<Action> schedule_actions(const Experiment& experiment, std::uint64_t seed);

}  // namespace meadowgauge::testbed
