// Estimates how long a connection may be idle and still be reused: the configured idle timeout, or less if
// endpoints close idle connections earlier. Does no I/O; all times are in ms of the caller's clock.
#pragma once

#include <deque>

#include "policy/types.hpp"

namespace meadowgauge::proxy {

class IdleTimeoutEstimator {
 public:
  // `idle_timeout_ms`: after which endpoints close idle connections.
  explicit IdleTimeoutEstimator(double idle_timeout_ms) : idle_timeout_ms_(idle_timeout_ms) {}

  // The endpoint closed a connection after `idle_ms` of idle time.
  void closed_by_endpoint(EndpointIndex endpoint, double idle_ms, double now_ms);
  // Idle time from which a connection is not reused. Forgets old closes.
  [[nodiscard]] double usable_ms(double now_ms);
  // Idle time from which a connection is closed: usable_ms() never exceeds it.
  [[nodiscard]] double close_after_ms() const;

 private:
  struct Close {
    double at_ms = 0;
    double idle_ms = 0;
    EndpointIndex endpoint = no_endpoint;
  };
  double idle_timeout_ms_;
  std::deque<Close> closes_;  // oldest first
};

}  // namespace meadowgauge::proxy
