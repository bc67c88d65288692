// Timeouts of the watch on discovery, and backoff between calls. Does no I/O and reads no clock; durations
// are in ms.
#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "policy/types.hpp"
#include "proxy/logger.hpp"

namespace meadowgauge::proxy {

// The settings that pacing depends on.
struct WatchPacingSettings {
  // Set where a local agent pushes lists: the grace period of a drain, counted from the time when the agent
  // knows of the drain. Absent where balancers poll one shared discovery.
  std::optional<double> push_grace_ms;
  // Estimated number of balancers that call the same discovery; their calls are spread.
  double instances = 1;
  // The balancer's place, 0 to 1, in the order of the balancers that call the same discovery; unchanged by a
  // restart. Drawn at random if absent.
  std::optional<double> place;
};

// Reads the pacing settings from the configuration; logs invalid values to `log`. Each tier gets an equal
// share of the polled calls: a balancer of a small tier carries more traffic, so it calls more often. The
// places of a tier are evenly spaced, and the places of other tiers lie between them.
WatchPacingSettings watch_pacing_settings(const Settings& settings, const Logger& log);

// A call that failed. Times are in ms of Unix time.
struct FailedCall {
  double called_at_ms = 0;
  double failed_at_ms = 0;
  double retry_after_ms = 0;  // requested by the agent; 0 if absent
};

// Paces one watch. Deterministic for a seed. Times are in ms of Unix time.
//
// Polled: if calls exceed discovery's capacity, its queue grows until each call in the queue is too old to be
// answered. Large fleets therefore divide time into frames, and a balancer calls once per frame, at its place
// in the frame. However many balancers start or lose their watches together, the sum of their calls then
// stays below discovery's capacity.
//
// The first backoff is drawn at random, because discovery is idle after an ordinary loss of watches. A watch
// that has been silent for `min_silence_ms` is replaced at the balancer's next place in shorter frames.
class WatchPacing {
 public:
  WatchPacing(const WatchPacingSettings& pacing_settings, std::uint64_t seed);

  // Timeout of a call without a response head, or of a complete list without progress.
  [[nodiscard]] double call_timeout_ms() const;
  // Timeout of a watch without its first line. Randomized at each call, so that a fleet does not reconnect
  // simultaneously.
  double first_line_timeout_ms();
  // Timeout of a watch without a line since `last_line_ms`. Polled: the timeout ends at the balancer's place
  // among the balancers whose watches fell silent together, so the next call is made at once.
  double silence_timeout_ms(double last_line_ms);
  // Records that a polled watch fell silent. The caller makes the next call at once; if that call fails, its
  // backoff takes the silence into account.
  void record_silence();
  // Delay before an unreadable line, which may contain a drain, is requested again.
  double reread_delay_ms();
  // Delay of a new process's first call, because many processes may start together. Until the call is
  // answered, the process has only its configured list.
  [[nodiscard]] double first_call_delay_ms(double now_ms) const;
  // Records a failed call and returns the delay before the next one.
  double backoff_ms(const FailedCall& call);
  // Delay of the call for the complete list after a move to another discovery; 0 where lists are pushed.
  double complete_list_delay_ms();
  // Resets the backoff after an endpoint list was received or the agent was replaced.
  void record_success() { failures_ = 0; }

  [[nodiscard]] bool has_failed() const { return failures_ > 0; }
  [[nodiscard]] bool is_pushed() const { return settings_.push_grace_ms.has_value(); }
  // `ms` reduced by a random part of at most `share`.
  double with_jitter(double ms, double share);

 private:
  // Time within which a drain that may have been missed must be requested again.
  [[nodiscard]] double drain_poll_ms() const;
  // Whether the balancer makes its calls at its place in a frame.
  [[nodiscard]] bool is_staggered() const;
  // The time over which the fleet's calls are spread after an ordinary loss of watches.
  [[nodiscard]] double fleet_spread_ms() const;
  // The length of a frame, in which each balancer of a large fleet calls once.
  [[nodiscard]] double frame_ms() const;
  // Backoff of a large fleet's balancer after repeated failures.
  double frame_backoff_ms(const FailedCall& call);
  // The length of a frame in which each balancer whose watch is silent calls once.
  [[nodiscard]] double silence_frame_ms() const;
  // Time until the balancer's next place in frames of `frame_ms`; always above 0.
  [[nodiscard]] double until_place_ms(double now_ms, double frame_ms) const;
  double random_fraction();  // 0 to 1

  WatchPacingSettings settings_;
  std::minstd_rand random_;
  double place_;      // 0 to 1
  int failures_ = 0;  // consecutive
};

}  // namespace meadowgauge::proxy
