#include "proxy/upstream/attempt.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace meadowgauge::proxy {

namespace {

// A response that streams ends when nothing more of it comes for this long, though there is room.
constexpr double stream_stall_ms = 10000;
// One that is no larger than what is held at a time is owed by the client timeout. While it still grows it
// may be a large one that has just begun: it has so long from byte to byte, and so much beyond that time at
// most.
constexpr double late_byte_ms = 200;
constexpr double max_late_ms = 400;

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

// What waited for a connection when the window of its idempotency key ended went out all the same when the
// connection came up, and ran a second time.
double UpstreamAttempt::give_up_at_ms() const {
  if (is_sent()) return deadlines_.limit_at_ms;
  double sent_by_ms = std::min(deadlines_.limit_at_ms, deadlines_.send_by_ms);
  return awaits_connection() ? std::min(sent_by_ms, deadlines_.connect_by_ms) : sent_by_ms;
}

// A corrupted response of unknown length that never ended held its client for ten seconds, long past its
// time.
double UpstreamAttempt::stall_at_ms(double now_ms, bool large) const {
  if (phase_ == Phase::response_paused) return transport::DueTimes::none;
  double stall_at_ms = now_ms + stream_stall_ms;
  if (large || response_bytes_ > protocol::max_buffered_body) return stall_at_ms;
  double complete_by_ms =
      std::clamp(now_ms + late_byte_ms, response_due_at_ms_, response_due_at_ms_ + max_late_ms);
  return std::min(stall_at_ms, complete_by_ms);
}

bool UpstreamAttempt::is_never_sent(double now_ms) const {
  return awaits_connection() || (!is_sent() && deadlines_.send_by_ms <= now_ms);
}

}  // namespace meadowgauge::proxy
