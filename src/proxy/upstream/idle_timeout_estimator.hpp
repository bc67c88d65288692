// How long a connection may lie idle and still be used: the configured idle timeout, or less where endpoints
// were seen to close idle connections earlier. Values only; all times are in ms of the caller's clock.
#pragma once

#include <deque>

#include "policy/types.hpp"

namespace meadowgauge::proxy {

class IdleTimeoutEstimator {
 public:
  // `idle_timeout_ms`: endpoints close what has been idle for so long.
  explicit IdleTimeoutEstimator(double idle_timeout_ms) : idle_timeout_ms_(idle_timeout_ms) {}

  // That endpoint ended a connection which had been idle for so long.
  void closed_by_endpoint(EndpointIndex endpoint, double idle_ms, double now_ms);
  // From this age on an idle connection is no longer used. Forgets what is too old to tell.
  [[nodiscard]] double usable_ms(double now_ms);
  // From this age on an idle connection is closed: it is never used again, whatever is learned.
  [[nodiscard]] double close_after_ms() const;

 private:
  struct Close {
    double at_ms = 0;
    double idle_ms = 0;
    EndpointIndex endpoint = no_endpoint;
  };
  double idle_timeout_ms_;
  std::deque<Close> closes_;  // the latest, oldest first
};

}  // namespace meadowgauge::proxy
