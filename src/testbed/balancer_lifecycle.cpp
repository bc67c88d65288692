#include "testbed/balancer_lifecycle.hpp"

namespace meadowgauge::testbed {

namespace {
constexpr double graceful_shutdown_timeout_ms = 8000;
}

using Cause = BalancerExit::Cause;

BalancerLifecycle::Signal BalancerLifecycle::apply(const Action& action, double begin_ms, double now_ms) {
  if (!running_) return Signal::none;
  switch (action.kind) {
    case Action::Kind::pause:
      return Signal::pause;
    case Action::Kind::resume:
      return Signal::resume;
    case Action::Kind::reload:
      return Signal::reload;
    default:
      break;
  }
  bool kill = action.kind == Action::Kind::kill;
  // A process that is already exiting may still be killed, but gets no second graceful shutdown.
  if (exit_requested_ && !kill) return Signal::none;
  exit_requested_ = true;
  requested_at_ms_ = now_ms;
  restart_at_ms_ = begin_ms + action.value;
  cause_ = kill ? Cause::killed : Cause::planned;
  return kill ? Signal::kill : Signal::terminate;
}

BalancerLifecycle::Signal BalancerLifecycle::overdue_signal(double now_ms) {
  bool exiting_gracefully = running_ && exit_requested_ && cause_ == Cause::planned;
  if (!exiting_gracefully || killed_overdue_ || now_ms <= requested_at_ms_ + graceful_shutdown_timeout_ms)
    return Signal::none;
  killed_overdue_ = true;
  return Signal::kill;
}

BalancerExit BalancerLifecycle::exited(int tier, int balancer, int status, double now_ms) {
  bool crashed = !exit_requested_ || (cause_ == Cause::planned && status != 0);
  BalancerExit exit{.tier = tier,
                    .balancer = balancer,
                    .at_ms = exit_requested_ ? requested_at_ms_ : now_ms,
                    .cause = crashed ? Cause::crashed : cause_,
                    .exited_ms = now_ms};
  if (!exit_requested_) restart_at_ms_ = never;
  running_ = exit_requested_ = killed_overdue_ = false;
  return exit;
}

bool BalancerLifecycle::take_restart(double now_ms) {
  if (running_ || now_ms < restart_at_ms_) return false;
  restart_at_ms_ = never;
  running_ = true;
  return true;
}

}  // namespace meadowgauge::testbed
