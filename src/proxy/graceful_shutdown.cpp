#include "proxy/graceful_shutdown.hpp"

#include <algorithm>

namespace meadowgauge::proxy {

namespace {

// The operators kill the process 700 ms after the signal and the largest client timeout. The shutdown
// finishes this long after that timeout.
constexpr double finish_margin_ms = 550;
// Larger client timeouts do not prolong the shutdown.
constexpr double max_client_timeout_bound_ms = 3000;
// The operators' front sends new connections for up to 400 ms after the signal.
constexpr double min_drain_ms = 450;
// Unanswered requests fail this long before the finish, so that clients can receive the responses.
constexpr double failure_responses_lead_ms = 150;

}  // namespace

void GracefulShutdown::begin(double now_ms, bool has_served) {
  if (phase_ != Phase::serving) return;
  if (!has_served && !handed_over_) {
    phase_ = Phase::finished;
    return;
  }
  phase_ = Phase::draining;
  // Clients keep using their open connections, and the front may have no other balancer for them. Closing
  // early would reject requests that there is time to serve.
  double client_timeout_ms = std::min(settings_.max_client_timeout_ms, max_client_timeout_bound_ms);
  phase_until_ms_ = now_ms + settings_.drain_ms.value_or(std::max(client_timeout_ms, min_drain_ms));
  // A configured drain may be longer: the operator then allows for it before killing the process.
  double last_response_ms = std::max(now_ms + client_timeout_ms, settings_.drain_ms ? phase_until_ms_ : 0);
  finished_at_ms_ = last_response_ms + finish_margin_ms;
  responses_due_ms_ = finished_at_ms_ - failure_responses_lead_ms;
}

GracefulShutdown::Actions GracefulShutdown::advance(double now_ms, std::size_t open_connections) {
  Actions actions;
  // Every request here is answered, and the successor takes all others.
  if (handed_over_ && open_connections == 0) phase_ = Phase::finished;
  if (phase_ == Phase::draining && now_ms >= phase_until_ms_) {
    phase_ = Phase::closing;
    phase_until_ms_ = responses_due_ms_;
    actions.close_listener = true;
  }
  // Repeated in each turn until the finish, for requests that arrive late. The lead leaves time to write the
  // responses: the process's exit resets connections with unsent or unread data.
  if (phase_ == Phase::closing && now_ms >= responses_due_ms_) {
    phase_until_ms_ = finished_at_ms_;
    actions.fail_unanswered = true;
  }
  return actions;
}

std::string_view GracefulShutdown::name_of(Phase phase) {
  switch (phase) {
    case Phase::serving:
      return "serving";
    case Phase::draining:
      return "draining";
    case Phase::closing:
      return "closing";
    case Phase::finished:
      return "finished";
  }
  return "";
}

void GracefulShutdown::connections_closed(double now_ms, std::size_t open_connections) {
  if (phase_ != Phase::closing) return;
  if (open_connections == 0 || now_ms >= finished_at_ms_) phase_ = Phase::finished;
}

}  // namespace meadowgauge::proxy
