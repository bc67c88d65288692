#include "proxy/upstream/connection.hpp"

#include <cassert>

namespace meadowgauge::proxy {

using protocol::Message;

void UpstreamConnection::become_idle() {
  assert(state_ == State::dialling || state_ == State::settling);
  state_ = State::idle;
}

void UpstreamConnection::begin_attempt(AttemptId attempt, double now_ms) {
  assert(state_ == State::idle);
  state_ = State::in_flight;
  attempt_ = attempt;
  idle_before_attempt_ms_ = idle_since_ms_ > 0 ? now_ms - idle_since_ms_ : 0;
  response_ = std::make_shared<Message>(buffers_, Message::Kind::response, Message::Body::streaming);
  response_head_at_ms_ = 0;
}

void UpstreamConnection::settle() {
  assert(state_ == State::in_flight);
  state_ = State::settling;
  attempt_ = 0;
}

void UpstreamConnection::close() {
  // The system would go on sending what the endpoint has not taken of the request, and the endpoint would run
  // it although nobody waits for its response.
  bool request_pending = state_ == State::in_flight && stream_.acknowledged_bytes() < stream_.sent_bytes();
  state_ = State::closed;
  if (request_pending)
    stream_.reset();
  else
    stream_.close();
}

}  // namespace meadowgauge::proxy
