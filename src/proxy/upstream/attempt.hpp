// One attempt of a request, or one health check, at an endpoint: its phase and its timeouts. Does no I/O and
// refers to connections by id. All times are in ms of the loop turn's clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "policy/types.hpp"
#include "proxy/request/shared_message.hpp"
#include "proxy/upstream/request.hpp"
#include "transport/due_times.hpp"

namespace meadowgauge::proxy {

// Assigned by the caller that starts the attempt; never reused. The upper bits hold the request's number, the
// lower `attempt_number_bits` the number of the attempt within its request.
using AttemptId = std::uint64_t;
constexpr int attempt_number_bits = 3;
static_assert(max_attempts <= 1 << attempt_number_bits);
// The number of the attempt within its request, from 0.
constexpr int attempt_number_of(AttemptId id) {
  return static_cast<int>(id & ((1 << attempt_number_bits) - 1));
}

// Identifies a connection to an endpoint; never 0, never reused.
using ConnectionId = std::uint64_t;

// A change in an attempt that the owner of the request handles.
struct AttemptEvent {
  enum class Kind : std::uint8_t {
    completed,            // the attempt is over; sent last, at most once
    response_started,     // the response starts to stream
    response_progress,    // more of a streamed response is received
    request_body_drained  // the buffered part of the request body is forwarded; more can be received
  };
  Kind kind = Kind::completed;
  AttemptId attempt = 0;
  EndpointIndex endpoint = no_endpoint;
  Outcome outcome = Outcome::error;  // with `completed` only
  // With `completed`: the complete response, unless it was streamed or there is none. With
  // `response_started`: the response that streams.
  SharedMessage response = {};
  double started_at_ms = 0;  // start of the attempt, with `completed` and `response_started` only
};

// Time limits of an attempt, in ms from the start of the attempt.
struct AttemptLimits {
  double limit_ms = 0;
  // The attempt ends as never sent unless the request's last byte is written within this time.
  double send_by_ms = transport::DueTimes::none;
  // The time budget in the request's header while the body is still incoming.
  double streaming_budget_ms = 0;
};

// What is known of the size of a response's body.
enum class ResponseSize : std::uint8_t { unknown, fits_buffer, exceeds_buffer };

// The state machine and the deadlines of one attempt.
class UpstreamAttempt {
 public:
  // Transitions go to later phases only, except that the last two alternate.
  enum class Phase : std::uint8_t {
    awaiting_connection,
    sending_request,     // on a connection; the last byte is not written yet
    awaiting_response,   // the request is sent; the response is buffered until complete
    streaming_response,  // the response is forwarded as it is received
    response_paused      // the buffer is full: no reads until the client has received its content
  };
  // Points in time, in ms. `connect_by_ms` applies without a connection, `send_by_ms` until the request is
  // sent.
  struct Deadlines {
    double started_at_ms = 0;
    double limit_at_ms = 0;
    double connect_by_ms = 0;
    double send_by_ms = transport::DueTimes::none;
  };

  UpstreamAttempt(EndpointIndex endpoint, UpstreamRequest request, const Deadlines& deadlines);

  [[nodiscard]] EndpointIndex endpoint() const { return endpoint_; }
  [[nodiscard]] UpstreamRequest& request() { return request_; }
  [[nodiscard]] const UpstreamRequest& request() const { return request_; }
  [[nodiscard]] bool is_health_check() const { return request_.is_health_check(); }
  [[nodiscard]] Phase phase() const { return phase_; }
  // The id of the attempt's connection; 0 while the attempt awaits a connection.
  [[nodiscard]] ConnectionId connection() const { return connection_; }
  [[nodiscard]] bool awaits_connection() const { return phase_ == Phase::awaiting_connection; }
  // Whether the request's last byte is written: the endpoint may have executed the request.
  [[nodiscard]] bool is_sent() const { return phase_ >= Phase::awaiting_response; }
  // Whether the response is being forwarded to the client, possibly paused.
  [[nodiscard]] bool streams_response() const { return phase_ >= Phase::streaming_response; }

  // Transitions.
  void connected(ConnectionId connection);
  void request_sent();
  void stream_response(double now_ms);
  void pause_response();
  void resume_response();

  [[nodiscard]] double started_at_ms() const { return deadlines_.started_at_ms; }
  [[nodiscard]] double limit_at_ms() const { return deadlines_.limit_at_ms; }
  void set_limit_at_ms(double at_ms) { deadlines_.limit_at_ms = at_ms; }
  // Moves the send deadline of an unsent request to `send_by_ms` if that is earlier.
  void limit_sending(double send_by_ms) {
    deadlines_.send_by_ms = std::min(deadlines_.send_by_ms, send_by_ms);
  }
  // Sets the deadline of a streamed response that fits in the buffer.
  void set_response_due_at_ms(double at_ms) { response_due_at_ms_ = at_ms; }
  void response_received(std::size_t bytes) { response_bytes_ += bytes; }

  // When the attempt times out in its present phase. Applies to the phases before streaming.
  [[nodiscard]] double timeout_at_ms() const;
  // When a streamed response times out unless more is received. `size`: as its head announces it.
  [[nodiscard]] double stall_timeout_at_ms(double now_ms, ResponseSize size) const;
  // Whether an unsent request may be written at that time. After the window of its idempotency key the
  // endpoint could execute the request a second time.
  [[nodiscard]] bool may_be_sent(double clock_ms) const { return clock_ms < deadlines_.send_by_ms; }
  [[nodiscard]] bool has_send_deadline() const { return deadlines_.send_by_ms != transport::DueTimes::none; }
  // Whether a timeout at `now_ms` ends the attempt as never sent: the endpoint has no complete request.
  [[nodiscard]] bool is_never_sent(double now_ms) const;

  // The due time of this attempt that the owner has registered in DueTimes.
  [[nodiscard]] double& due_ms() { return due_ms_; }
  [[nodiscard]] double due_ms() const { return due_ms_; }

 private:
  EndpointIndex endpoint_;
  UpstreamRequest request_;
  Deadlines deadlines_;
  Phase phase_ = Phase::awaiting_connection;
  ConnectionId connection_ = 0;
  std::size_t response_bytes_ = 0;
  double response_due_at_ms_ = transport::DueTimes::none;
  double streaming_since_ms_ = 0;
  double due_ms_ = transport::DueTimes::none;
};

}  // namespace meadowgauge::proxy
