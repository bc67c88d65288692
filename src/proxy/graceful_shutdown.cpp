#include "proxy/graceful_shutdown.hpp"

#include <algorithm>

namespace meadowgauge::proxy {

namespace {

// The shutdown finishes this long after the signal plus the largest client timeout. The operators kill the
// process 700 ms after the signal plus that timeout.
constexpr double finish_margin_ms = 550;
// Client timeouts above this bound do not prolong the shutdown.
constexpr double max_client_timeout_bound_ms = 3000;
// The operators' front end sends new connections for up to 400 ms after the signal.
constexpr double min_drain_ms = 450;
// Unanswered requests are failed this long before the finish, so that their clients receive the responses.
constexpr double failure_responses_lead_ms = 150;

}  // namespace

void GracefulShutdown::begin(double now_ms, bool has_served) {
  if (phase_ != Phase::serving) return;
  if (!has_served && !handed_over_) {
    phase_ = Phase::finished;
    return;
  }
  phase_ = Phase::draining;
  // Drains for the whole client timeout: clients keep using their open connections, and the front end may
  // have no other balancer for them. An earlier close would reject requests that can still be served.
  double client_timeout_ms = std::min(settings_.max_client_timeout_ms, max_client_timeout_bound_ms);
  phase_until_ms_ = now_ms + settings_.drain_ms.value_or(std::max(client_timeout_ms, min_drain_ms));
  // A configured drain may be longer than the client timeout: the operator then kills the process later.
  double last_response_ms = std::max(now_ms + client_timeout_ms, settings_.drain_ms ? phase_until_ms_ : 0);
  finished_at_ms_ = last_response_ms + finish_margin_ms;
  responses_due_ms_ = finished_at_ms_ - failure_responses_lead_ms;
}

GracefulShutdown::Actions GracefulShutdown::advance(double now_ms, std::size_t open_connections) {
  Actions actions;
  // All requests of this process are answered, and the successor receives all new requests.
  if (handed_over_ && open_connections == 0) phase_ = Phase::finished;
  if (phase_ == Phase::draining && now_ms >= phase_until_ms_) {
    phase_ = Phase::closing;
    phase_until_ms_ = responses_due_ms_;
    actions.close_listener = true;
  }
  // Repeated in each turn until the finish, for requests that arrive late. `failure_responses_lead_ms` leaves
  // time to write the responses: the exit of the process resets connections with unsent or unread data.
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
