// Decides when to subscribe to the endpoint list, if discovery requires a subscription. Design:
// docs/design.md, "The endpoint list".
#pragma once

#include <vector>

#include "policy/policy_event.hpp"
#include "policy/policy_settings.hpp"
#include "policy/random.hpp"

namespace meadowgauge {

// Subscribes after a random delay, so that balancers that start together spread their calls. Retries with
// exponential backoff and jitter.
//
//   first delay = random from 0 to min(400 ms + 20 ms * balancers, subscribe_within_ms / 3)
//   retry delay = (random from 0.5 to 1.5) * min(500 ms * 2^(failures - 1), subscribe_within_ms / 3)
//
// where `failures` counts the consecutive failures, up to ten.
//
// States:
//
//   waiting -> requested (tick) -> subscribed (list_received)
//   requested, subscribed -> waiting (list_failed; when requested, also no answer within five seconds)
class ListSubscription {
 public:
  // All arguments must outlive the subscription.
  ListSubscription(const PolicySettings& settings, Random& random, std::vector<PolicyEvent>& events,
                   double now_ms);

  // Records that a list has arrived, complete or as a change.
  void list_received();
  // Records that the call has failed or the subscription has ended, and schedules a retry.
  void list_failed(double now_ms);
  // Returns whether to subscribe now. Must be called every tick.
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
