#include "testbed/schedule.hpp"

#include <algorithm>

namespace meadowgauge::testbed {

namespace {

using Kind = Action::Kind;

// In a rolling restart, the time from when the server starts to reject requests until it stops.
constexpr double rejecting_before_stop_ms = 300;

// Converts the faults of an experiment into actions, one fault at a time.
class Scheduler {
 public:
  Scheduler(const Experiment& experiment, std::uint64_t seed) : experiment_(experiment), seed_(seed) {}

  std::vector<Action> schedule_all() {
    for (index_ = 0; index_ < experiment_.faults.size(); ++index_) {
      fault_ = &experiment_.faults[index_];
      targets_ = experiment_.targets_of(index_, seed_);
      schedule_fault();
    }
    std::stable_sort(actions_.begin(), actions_.end(),
                     [](const Action& a, const Action& b) { return a.at_ms < b.at_ms; });
    return std::move(actions_);
  }

 private:
  [[nodiscard]] double end_ms() const { return fault_->at_ms + fault_->for_ms; }

  void add(double at_ms, Kind kind, int target, double value = 0) {
    actions_.push_back(
        {.kind = kind, .at_ms = at_ms, .tier = fault_->tier, .target_index = target, .value = value});
  }

  // Switches the fault on at its start and off at its end, at each target.
  void add_on_off(Kind kind, double value) {
    for (int server : targets_) {
      add(fault_->at_ms, kind, server, value);
      add(end_ms(), kind, server, 0);
    }
  }

  // Adds the actions of the current fault.
  void schedule_fault() {
    using Fault = FaultSpec::Kind;
    const auto& fault = *fault_;
    switch (fault.kind) {
      case Fault::kill:
        return schedule_kill();
      case Fault::rolling_restart:
        return schedule_rolling_restart();
      case Fault::drain:
        return schedule_drain();
      case Fault::slow:
        return add_on_off(Kind::slow, fault.times);
      case Fault::fail:
        return add_on_off(Kind::fail, fault.share);
      case Fault::silent:
        return add_on_off(Kind::silent, 1);
      case Fault::stall:
        return add_at_begin(Kind::stall, end_ms());
      case Fault::discovery:
        add(fault.at_ms, Kind::discovery_silent, 0, 1);
        return add(end_ms(), Kind::discovery_silent, 0, 0);
      case Fault::mark:
        return;
      case Fault::kill_balancer:
        return add_at_begin(Kind::kill, end_ms());
      case Fault::restart_balancer:
        return add_at_begin(Kind::terminate, fault.at_ms);
      case Fault::pause_balancer:
        return schedule_pause();
      case Fault::reload_balancer:
        return add_at_begin(Kind::reload, static_cast<double>(index_));
    }
  }

  void add_at_begin(Kind kind, double value) {
    for (int target : targets_) add(fault_->at_ms, kind, target, value);
  }

  // Stops the servers and, if the fault has a duration, restarts them in slow start at its end.
  void schedule_kill() {
    for (int server : targets_) {
      add(fault_->at_ms, Kind::stop, server);
      add(fault_->at_ms, Kind::announce_removed, server);
      if (fault_->for_ms <= 0) continue;
      add(end_ms(), Kind::start_in_slow_start, server);
      add(end_ms(), Kind::announce_active, server);
    }
  }

  void schedule_drain() {
    for (int server : targets_) {
      add(fault_->at_ms, Kind::announce_draining, server);
      if (fault_->for_ms > 0) add(end_ms(), Kind::announce_active, server);
    }
  }

  void schedule_pause() {
    for (int balancer : targets_) {
      add(fault_->at_ms, Kind::pause, balancer);
      add(end_ms(), Kind::resume, balancer);
    }
  }

  // Restarts batches of `at_once` servers; the batches start at even intervals over the fault's duration.
  void schedule_rolling_restart() {
    const auto& fault = *fault_;
    const int servers = static_cast<int>(targets_.size());
    const int batches = (servers + fault.at_once - 1) / fault.at_once;
    for (int k = 0; k < servers; ++k) {
      int server = targets_[static_cast<std::size_t>(k)];
      const int batch = k / fault.at_once;
      double from_ms = fault.at_ms + fault.for_ms * batch / batches;
      double stop_ms = from_ms + fault.drain_ms + rejecting_before_stop_ms;
      add(from_ms, Kind::announce_draining, server);
      add(from_ms + fault.drain_ms, Kind::drain, server, 1);
      add(stop_ms, Kind::stop, server);
      add(stop_ms, Kind::announce_removed, server);
      add(stop_ms + fault.down_ms, Kind::start_in_slow_start, server);
      add(stop_ms + fault.down_ms, Kind::announce_active, server);
    }
  }

  const Experiment& experiment_;
  std::uint64_t seed_;
  std::size_t index_ = 0;  // of the current fault
  const FaultSpec* fault_ = nullptr;
  std::vector<int> targets_;
  std::vector<Action> actions_;
};

}  // namespace

std::vector<Action> schedule_actions(const Experiment& experiment, std::uint64_t seed) {
  return Scheduler(experiment, seed).schedule_all();
}

}  // namespace meadowgauge::testbed
