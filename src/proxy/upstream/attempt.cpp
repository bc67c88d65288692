#include "proxy/upstream/attempt.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace meadowgauge::proxy {

namespace {

// Maximum time between two received parts of a large streamed response that is not paused. Longer than an
// endpoint may hang in the middle of its work.
constexpr double stream_stall_ms = 30000;
// A streamed response that fits in the buffer is due at its request's deadline, or `max_lateness_ms` later as
// long as its bytes are at most `max_late_byte_gap_ms` apart.
constexpr double max_late_byte_gap_ms = 200;
constexpr double max_lateness_ms = 400;
// A response of unknown length may turn out larger than the buffer: only its first bytes are due. It has
// `max_growth_ms` from there to do so, with pauses of at most `max_growth_pause_ms`.
constexpr double max_growth_ms = 2000;
constexpr double max_growth_pause_ms = 1000;

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

void UpstreamAttempt::stream_response(double now_ms) {
  assert(phase_ == Phase::awaiting_response);
  phase_ = Phase::streaming_response;
  streaming_since_ms_ = now_ms;
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
// length may never end and `stream_stall_ms` alone would keep its client waiting. Once part of a larger
// response is forwarded, only its rest ends the request well.
double UpstreamAttempt::stall_timeout_at_ms(double now_ms, ResponseSize size) const {
  if (phase_ == Phase::response_paused) return transport::DueTimes::none;
  double stall_timeout_at_ms = now_ms + stream_stall_ms;
  if (size == ResponseSize::exceeds_buffer || response_bytes_ > protocol::max_buffered_body)
    return stall_timeout_at_ms;
  bool may_grow = size == ResponseSize::unknown;
  double pause_ms = may_grow ? max_growth_pause_ms : max_late_byte_gap_ms;
  double complete_by_ms = response_due_at_ms_ + max_lateness_ms;
  if (may_grow) complete_by_ms = std::max(complete_by_ms, streaming_since_ms_ + max_growth_ms);
  double next_byte_by_ms = std::max(response_due_at_ms_, now_ms + pause_ms);
  return std::min({stall_timeout_at_ms, next_byte_by_ms, complete_by_ms});
}

bool UpstreamAttempt::is_never_sent(double now_ms) const {
  return awaits_connection() || (!is_sent() && deadlines_.send_by_ms <= now_ms);
}

}  // namespace meadowgauge::proxy
