// Estimates how long a connection may be idle and still be reused. Does no I/O; all times are in ms of the
// caller's clock.
#pragma once

#include <deque>

#include "policy/types.hpp"

namespace meadowgauge::proxy {

// The limit is a share of the configured idle timeout. If several endpoints have recently closed connections
// earlier, the limit is a share of the shortest idle time of those closes.
class IdleTimeoutEstimator {
 public:
  // `idle_timeout_ms`: configured idle time after which endpoints close connections.
  explicit IdleTimeoutEstimator(double idle_timeout_ms) : idle_timeout_ms_(idle_timeout_ms) {}

  // Records that the endpoint closed a connection after `idle_ms` of idle time.
  void closed_by_endpoint(EndpointIndex endpoint, double idle_ms, double now_ms);
  // Idle time from which a connection is not reused. Discards old closes.
  [[nodiscard]] double max_reuse_idle_ms(double now_ms);
  // Idle time from which a connection is closed. max_reuse_idle_ms() never exceeds this time.
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
