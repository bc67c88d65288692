// When the endpoint list is asked for, where it has to be subscribed to. Design: docs/design.md, "The
// endpoint list".
#pragma once

#include <vector>

#include "policy/policy_event.hpp"
#include "policy/policy_settings.hpp"
#include "policy/random.hpp"

namespace meadowgauge {

// Subscribes once after a random delay, so that balancers that start together spread their calls; after a
// failure again with exponential backoff and jitter: 0.5 s doubled for each failure, 0.5 to 1.5 times that,
// and no longer than a third of `ask_within_ms`.
//
//   waiting -> requested (tick) -> subscribed (list_received)
//   requested, subscribed -> waiting (list_failed, or no answer within five seconds)
class ListSubscription {
 public:
  // All arguments must outlive it.
  ListSubscription(const PolicySettings& settings, Random& random, std::vector<PolicyEvent>& events,
                   double now_ms);

  // A list has come, complete or as a change.
  void list_received();
  // The call has failed, or the subscription has ended.
  void list_failed(double now_ms);
  // Whether to subscribe now. To be called every tick.
  bool tick(double now_ms);

 private:
  enum class State : std::uint8_t { waiting, requested, subscribed };

  void schedule_retry(double now_ms);

  const PolicySettings& settings_;
  Random& random_;
  std::vector<PolicyEvent>& events_;
  State state_ = State::waiting;
  double request_at_ms_;
  double requested_at_ms_ = 0;
  int failure_count_ = 0;  // consecutive
};

}  // namespace meadowgauge
