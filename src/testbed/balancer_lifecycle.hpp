// The lifecycle of one balancer process under the actions of a run: which signals to send, whether an exit
// was requested, and when to restart. Sends no signals itself; times are milliseconds on the caller's clock.
#pragma once

#include <cstdint>

#include "testbed/history.hpp"
#include "testbed/schedule.hpp"

namespace meadowgauge::testbed {

class BalancerLifecycle {
 public:
  enum class Signal : std::uint8_t { none, kill, terminate, pause, resume, reload };

  // Applies an action that is due; returns the signal for the process. `begin_ms`: the start of the run.
  Signal apply(const Action& action, double begin_ms, double now_ms);
  // Returns `kill` once if a graceful shutdown has exceeded its timeout, else `none`.
  Signal overdue_signal(double now_ms);
  // Records that the process has exited with `status`, negative for a signal. An unrequested exit, or a
  // graceful shutdown with a status other than 0, is a crash. After an unrequested exit there is no restart.
  BalancerExit exited(int tier, int balancer, int status, double now_ms);
  // Returns true once, when the restart is due; the process counts as running from then on.
  bool take_restart(double now_ms);
  [[nodiscard]] bool running() const { return running_; }

 private:
  bool running_ = true, exit_requested_ = false, killed_overdue_ = false;
  double requested_at_ms_ = 0, restart_at_ms_ = never;
  BalancerExit::Cause cause_ = BalancerExit::Cause::killed;
};

}  // namespace meadowgauge::testbed
