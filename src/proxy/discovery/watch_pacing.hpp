// Timeouts of the watch on discovery and backoff between calls. Does no I/O and reads no clock; times are
// durations in milliseconds.
#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "policy/types.hpp"
#include "proxy/logger.hpp"

namespace meadowgauge::proxy {

// The settings that pacing depends on.
struct WatchTerms {
  // Set where a local agent pushes lists: the grace of a drain, counted from the agent's knowledge of it.
  // Absent where balancers poll one shared discovery.
  std::optional<double> push_grace_ms;
  // Estimated number of balancers that call the same discovery; their calls are spread.
  double instances = 1;
};

// Each tier gets an equal part of the polled calls: a balancer of a small tier carries more traffic, so it
// calls more often.
WatchTerms watch_terms(const Settings& settings, const Logger& log);

// Paces one watch. Deterministic for a seed.
class WatchPacing {
 public:
  WatchPacing(const WatchTerms& terms, std::uint64_t seed);

  // Timeout of a call without a response head, or of a complete list without progress.
  [[nodiscard]] double answer_limit_ms() const;
  // Timeout of a watch without a line. Randomized per draw, so that a fleet does not reconnect in step.
  double silence_limit_ms();
  // Delay before an unreadable line, which may hold a drain, is requested again.
  double reread_limit_ms();
  // Delay of a new process's first call. Many start together, and the configured list serves until then.
  double first_call_ms();
  // Records a failed call and returns the delay before the next one.
  // `retry_after_ms`: requested by the agent, 0 for none.
  double backoff_ms(double retry_after_ms = 0);
  // Delay of the complete list after a move to another discovery; 0 where lists are pushed.
  double complete_list_delay_ms();
  // An endpoint list was received, or the agent is new.
  void record_success() { failures_ = 0; }

  [[nodiscard]] bool failed_before() const { return failures_ > 0; }
  [[nodiscard]] bool pushed() const { return terms_.push_grace_ms.has_value(); }
  // `ms` reduced by a random part of at most `share`.
  double spread(double ms, double share);

 private:
  // Delay within which a possible drain has to be requested again.
  [[nodiscard]] double drain_poll_ms() const;
  // The time over which the fleet's calls are spread.
  [[nodiscard]] double fleet_spread_ms() const;
  double random_fraction();  // 0 to 1

  WatchTerms terms_;
  std::minstd_rand random_;
  int failures_ = 0;  // consecutive
};

}  // namespace meadowgauge::proxy
