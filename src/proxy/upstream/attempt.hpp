// One attempt of a request, or one health check, at an endpoint: how far it has come, and when it is given
// up. Values only: it knows connections by their ids. All times are in ms of the turn's clock.
#pragma once

#include <cstddef>
#include <cstdint>

#include "policy/types.hpp"
#include "proxy/request/shared_message.hpp"
#include "proxy/upstream/request.hpp"
#include "transport/due_times.hpp"

namespace meadowgauge::proxy {

// Given out by whoever starts the attempt, and never twice.
using AttemptId = std::uint64_t;
// Of a connection to an endpoint; never given out twice, nor 0.
using ConnectionId = std::uint64_t;

// What has happened to an attempt.
struct AttemptEvent {
  enum class Kind : std::uint8_t {
    completed,            // it is over; an attempt has one such event at most, its last
    response_started,     // its response is to go out as it comes
    response_progress,    // more of that response is there
    request_body_drained  // what was held of the request's body has been passed on: there is room for more
  };
  Kind kind = Kind::completed;
  AttemptId attempt = 0;
  EndpointIndex endpoint = no_endpoint;
  Outcome outcome = Outcome::error;  // of one that is completed
  // With `completed` a complete one, where one came that has not been started before; with
  // `response_started` the one that comes.
  SharedMessage response = {};
  double started_at_ms = 0;  // with these two kinds
};

// How long an attempt may take, from its start.
struct AttemptLimits {
  double limit_ms = 0;
  // Its last byte is written by then, or it ends as never sent: behind a wait for a connection, or for room
  // to write.
  double send_by_ms = transport::DueTimes::none;
  // The time budget that the endpoint is told of a request whose body is still coming.
  double streaming_budget_ms = 0;
};

class UpstreamAttempt {
 public:
  // Each goes to a later one alone, but for the last two, which alternate.
  enum class Phase : std::uint8_t {
    awaiting_connection,
    sending_request,     // on a connection; its last byte is not written yet
    awaiting_response,   // the request is sent; the response is held until it is complete
    streaming_response,  // the response goes out as it comes
    response_paused      // as much of it is held as may be: nothing is read until that has been passed on
  };
  // Points in time.
  struct Deadlines {
    double started_at_ms = 0;
    double limit_at_ms = 0;
    double connect_by_ms = 0;
    double send_by_ms = transport::DueTimes::none;
  };

  UpstreamAttempt(EndpointIndex endpoint, UpstreamRequest request, const Deadlines& deadlines);

  [[nodiscard]] EndpointIndex endpoint() const { return endpoint_; }
  [[nodiscard]] UpstreamRequest& request() { return request_; }
  [[nodiscard]] bool is_health_check() const { return request_.is_health_check(); }
  [[nodiscard]] Phase phase() const { return phase_; }
  // Its connection; 0 while it awaits one.
  [[nodiscard]] ConnectionId connection() const { return connection_; }
  [[nodiscard]] bool awaits_connection() const { return phase_ == Phase::awaiting_connection; }
  // Its request's last byte is written: the endpoint may have run it.
  [[nodiscard]] bool is_sent() const { return phase_ >= Phase::awaiting_response; }
  // Its response goes to its client as it comes, or waits for it.
  [[nodiscard]] bool streams_response() const { return phase_ >= Phase::streaming_response; }

  // The steps from phase to phase.
  void connected(ConnectionId connection);
  void request_sent();
  void stream_response();
  void pause_response();
  void resume_response();

  [[nodiscard]] double started_at_ms() const { return deadlines_.started_at_ms; }
  [[nodiscard]] double limit_at_ms() const { return deadlines_.limit_at_ms; }
  void set_limit_at_ms(double at_ms) { deadlines_.limit_at_ms = at_ms; }
  // A response that streams is to be complete by then, unless it is larger than what is held at a time.
  void set_response_due_at_ms(double at_ms) { response_due_at_ms_ = at_ms; }
  void response_received(std::size_t bytes) { response_bytes_ += bytes; }

  // When it is given up unless its phase changes before; for phases before the response streams.
  [[nodiscard]] double give_up_at_ms() const;
  // The same while the response streams and nothing more of it comes. `large`: its head tells that it is
  // larger than what is held at a time.
  [[nodiscard]] double stall_at_ms(double now_ms, bool large) const;
  // Given up now, whether it ends as never sent: the endpoint can't have run it, or was not to any more.
  [[nodiscard]] bool is_never_sent(double now_ms) const;

  // When it falls due, as the owner has recorded it with DueTimes.
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
  double due_ms_ = transport::DueTimes::none;
};

}  // namespace meadowgauge::proxy
