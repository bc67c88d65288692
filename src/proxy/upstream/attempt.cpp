#include "proxy/upstream/attempt.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace meadowgauge::proxy {

namespace {

// Maximum time between two received parts of a streamed response that is not paused.
constexpr double stream_stall_ms = 10000;
// A streamed response that fits in the buffer so far is due at its request's deadline. It may still turn out
// larger than the buffer, so while bytes arrive at most `max_late_byte_gap_ms` apart the response may
// continue until `max_lateness_ms` past the deadline.
constexpr double max_late_byte_gap_ms = 200;
constexpr double max_lateness_ms = 400;

}  // namespace

UpstreamAttempt::UpstreamAttempt(EndpointIndex endpoint, UpstreamRequest request, const Deadlines& deadlines)
    : endpoint_(endpoint), request_(std::move(request)), deadlines_(deadlines) {}

void UpstreamAttempt::connected(ConnectionId connection) {
  assert(phase_ == Phase::awaiting_connection);
  phase_ = Phase::sending_request;
  connection_ = connection;
}

void UpstreamAttempt::request_sent() {
  assert(phase_ == Phase::sending_request);
  phase_ = Phase::awaiting_response;
}

void UpstreamAttempt::stream_response() {
  assert(phase_ == Phase::awaiting_response);
  phase_ = Phase::streaming_response;
}

void UpstreamAttempt::pause_response() {
  assert(phase_ == Phase::streaming_response);
  phase_ = Phase::response_paused;
}

void UpstreamAttempt::resume_response() {
  assert(phase_ == Phase::response_paused);
  phase_ = Phase::streaming_response;
}

// An unsent attempt times out at `send_by_ms` at the latest: after the window of its idempotency key the
// endpoint could execute the request a second time.
double UpstreamAttempt::timeout_at_ms() const {
  if (is_sent()) return deadlines_.limit_at_ms;
  double sent_by_ms = std::min(deadlines_.limit_at_ms, deadlines_.send_by_ms);
  return awaits_connection() ? std::min(sent_by_ms, deadlines_.connect_by_ms) : sent_by_ms;
}

// Responses that fit in the buffer are bounded by the deadline, because a corrupted response of unknown
// length may never end and `stream_stall_ms` alone would keep its client waiting.
double UpstreamAttempt::stall_timeout_at_ms(double now_ms, bool large) const {
  if (phase_ == Phase::response_paused) return transport::DueTimes::none;
  double stall_timeout_at_ms = now_ms + stream_stall_ms;
  if (large || response_bytes_ > protocol::max_buffered_body) return stall_timeout_at_ms;
  double complete_by_ms =
      std::clamp(now_ms + max_late_byte_gap_ms, response_due_at_ms_, response_due_at_ms_ + max_lateness_ms);
  return std::min(stall_timeout_at_ms, complete_by_ms);
}

bool UpstreamAttempt::is_never_sent(double now_ms) const {
  return awaits_connection() || (!is_sent() && deadlines_.send_by_ms <= now_ms);
}

}  // namespace meadowgauge::proxy
