// DownstreamConnections: reading requests and their bodies.
#include <algorithm>
#include <memory>
#include <utility>

#include "protocol/http_writer.hpp"
#include "protocol/text.hpp"
#include "proxy/downstream/connection.hpp"

namespace meadowgauge::proxy {

using protocol::Fault;
using protocol::Message;
using transport::Stream;

namespace {

// The deadline of a body: `body_grace_ms` after the request's head, but at most `max_body_grace_ms` after the
// deadline that a request without a body has. Each received byte extends it, at `min_body_bytes_per_ms`.
constexpr double body_grace_ms = 800;
constexpr double max_body_grace_ms = 400;
constexpr double min_body_bytes_per_ms = 32;
// A body is overdue after this time without any byte, however many were received before.
constexpr double max_body_silence_ms = 2500;
// The most bytes that a client's system is assumed to hold for a connection before they reach this one.
constexpr std::size_t max_peer_send_buffer_bytes = std::size_t{4} * 1024 * 1024;

}  // namespace

void DownstreamConnections::read_request(Connection& connection) {
  for (int i = 0; i < reads_per_turn; ++i) {
    while (!connection.stream.bytes().empty())
      if (!parse_request(connection)) return;
    if (!continue_if_expected(connection)) return close(connection);
    if (!receive(connection)) return;
  }
  connection.stream.again(EPOLLIN);
}

// Parses the received part of a request. False: the request is received or malformed, or no buffer is free.
bool DownstreamConnections::parse_request(Connection& connection) {
  if (!connection.request)
    connection.request = std::make_shared<Message>(pool_, Message::Kind::request, Message::Body::streaming);
  request_progressed(connection);
  bool had_head = connection.request->head_complete();
  bool fed = feed(connection);
  if (connection.request->fault() != Fault::none) {
    respond_and_close(connection, static_cast<int>(connection.request->fault()));
    return false;
  }
  bool body_begins = !had_head && connection.request->head_complete() && !connection.request->complete();
  if (body_begins)
    connection.body_due_base_ms =
        std::max(connection.due_ms, std::min(now_ms_ + body_grace_ms, connection.due_ms + max_body_grace_ms));
  if (connection.request->complete() || connection.request->buffer_full()) {
    request_received(connection);
    return false;
  }
  if (!fed) connection.stream.wait_for_buffer(EPOLLIN);
  return fed;
}

// Called before received bytes are parsed. On a connection that has not sent a complete request yet, progress
// restarts the grace, so that a stalled client is shed before a slow one. On another connection the first
// bytes of the next request end its idle time and start the request timeout.
void DownstreamConnections::request_progressed(Connection& connection) {
  if (!connection.has_sent_request) return mark_sheddable(connection, ShedClass::partial_request);
  if (connection.request->started()) return;
  unmark_sheddable(connection);
  set_deadline(connection, request_timeout_ms);
}

// Sends 100 Continue if the client waits for it before it sends its body. False: the connection broke.
bool DownstreamConnections::continue_if_expected(Connection& connection) {
  if (!connection.request || !connection.request->head_complete() || connection.continue_sent) return true;
  if (!protocol::contains_token(connection.request->find("Expect"), "100-continue")) return true;
  connection.continue_sent = true;
  return connection.stream.out().append("HTTP/1.1 100 Continue\r\n\r\n") && connection.stream.flush();
}

// Receives at most as many bytes as the request can store, so that unread input holds no buffer. Returns
// false if none have arrived, if the request can't store more, or if the connection has ended and is closed,
// which drops an incomplete request.
bool DownstreamConnections::receive(Connection& connection) {
  auto space = connection.request ? connection.request->ensure_space() : transport::buffer_size;
  if (space == 0) {
    request_out_of_space(connection);
    return false;
  }
  auto got = connection.stream.fill(space);
  if (got == Stream::ReadResult::bytes) return true;
  if (connection.stream.drained()) connection.unread_since_ms = 0;
  if (got != Stream::ReadResult::nothing) close(connection);
  return false;
}

// The request can't store more of its body. Forwarding the buffered part frees space; if nothing is buffered,
// the connection waits for a buffer of the pool.
void DownstreamConnections::request_out_of_space(Connection& connection) {
  bool can_forward = connection.request->buffer_full();
  if (!can_forward) connection.stream.wait_for_buffer(EPOLLIN);
  if (connection.state == Connection::State::in_flight) return pause_request_body(connection);
  if (can_forward) request_received(connection);
}

// Parses the received bytes and extends the body's deadline accordingly. False: the pool has no free buffer.
bool DownstreamConnections::feed(Connection& connection) {
  auto parsed_bytes = connection.request->feed(connection.stream.bytes());
  connection.stream.consume(parsed_bytes);
  if (connection.request->out_of_buffers()) return false;
  if (!connection.request->head_complete() || connection.body_due_base_ms == 0) return true;
  connection.body_bytes += parsed_bytes;
  set_body_deadline(connection);
  return true;
}

// Called when bytes of a body are received, and when reading is resumed after a pause.
void DownstreamConnections::set_body_deadline(Connection& connection) {
  double earned_ms = static_cast<double>(connection.body_bytes) / min_body_bytes_per_ms;
  set_deadline(connection, std::min(connection.body_due_base_ms + earned_ms - now_ms_, max_body_silence_ms));
}

// Reads more of a body whose request is in flight.
void DownstreamConnections::read_request_body(Connection& connection) {
  // The client has not caused a pause, so the pause extends its deadline.
  if (connection.paused_at_ms > 0) {
    connection.body_due_base_ms += now_ms_ - std::exchange(connection.paused_at_ms, 0);
    set_body_deadline(connection);
  }
  for (int i = 0; i < reads_per_turn; ++i) {
    while (!connection.stream.bytes().empty())
      if (!parse_request_body(connection)) return;
    if (!receive(connection)) return;
  }
  note_unread_input(connection);
  connection.stream.again(EPOLLIN);
}

// Parses the received part of a body. False: the body is complete or malformed, or no buffer is free.
bool DownstreamConnections::parse_request_body(Connection& connection) {
  bool fed = feed(connection);
  if (connection.request->fault() != Fault::none) {
    report_client_gone(connection);
    respond_and_close(connection, static_cast<int>(connection.request->fault()));
    return false;
  }
  if (!std::exchange(connection.body_event_pending, true))
    events_.push_back({.kind = DownstreamEvent::body_received, .client = connection.id});
  if (connection.request->complete()) {
    request_body_complete(connection);
    return false;
  }
  if (!fed) request_out_of_space(connection);
  return fed;
}

// Pauses reading until part of the buffered body is forwarded. Meanwhile the connection's deadline is that of
// the response.
void DownstreamConnections::pause_request_body(Connection& connection) {
  note_unread_input(connection);
  connection.paused_at_ms = now_ms_;
  set_deadline(connection, connection.unread_since_ms + connection.response_budget_ms - now_ms_);
}

// Records that the socket may hold the body's last byte from now on. It does not yet if more bytes are
// missing than both systems can hold between client and balancer.
void DownstreamConnections::note_unread_input(Connection& connection) const {
  if (connection.unread_since_ms == 0) connection.unread_since_ms = now_ms_;
  const auto& request = *connection.request;
  auto missing_bytes =
      request.length().value_or(0) - std::min(request.length().value_or(0), request.body_received());
  if (missing_bytes > max_peer_send_buffer_bytes + connection.stream.unread_bytes())
    connection.unread_since_ms = now_ms_;
}

void DownstreamConnections::set_response_budget(ClientId id, double budget_ms) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  auto& connection = *it->second;
  connection.response_budget_ms = budget_ms;
  if (connection.body_incoming && connection.paused_at_ms > 0)
    set_deadline(connection, connection.unread_since_ms + budget_ms - now_ms_);
}

double DownstreamConnections::body_arrived_at_ms(ClientId id) const {
  auto it = connections_.find(id);
  return it == connections_.end() ? now_ms_ : it->second->body_arrived_at_ms;
}

void DownstreamConnections::request_body_complete(Connection& connection) {
  connection.body_arrived_at_ms = connection.unread_since_ms > 0 ? connection.unread_since_ms : now_ms_;
  connection.body_incoming = false;
  connection.request.reset();
  if (connection.accounting == Connection::Accounting::awaiting_body) count_in_flight(connection);
  // A close behind the last byte may have waited in the client's system, for as long as this one's was full.
  connection.peer_closed = connection.peer_closed || connection.stream.ended();
  if (connection.peer_closed) report_client_gone(connection);
  clear_deadline(connection);
}

void DownstreamConnections::request_body_forwarded(ClientId id) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  auto& connection = *it->second;
  connection.body_event_pending = false;
  if (connection.state != Connection::State::in_flight || !connection.body_incoming) return;
  read_request_body(connection);
}

void DownstreamConnections::count_in_flight(Connection& connection) {
  connection.accounting = Connection::Accounting::in_flight;
  ++counters_.in_flight;
}

void DownstreamConnections::request_received(Connection& connection) {
  connection.state = Connection::State::in_flight;
  connection.keep_alive = connection.request->keep_alive();
  connection.http_1_0 = connection.request->is_http_1_0();
  connection.body_incoming = !connection.request->complete();
  connection.body_event_pending = false;
  connection.paused_at_ms = 0;
  connection.unread_since_ms = 0;
  connection.response_budget_ms = transport::DueTimes::none;
  connection.head_only = connection.request->method() == "HEAD";
  connection.continue_sent = false;
  connection.has_sent_request = true;
  unmark_sheddable(connection);
  if (!connection.body_incoming) clear_deadline(connection);
  connection.request_class = -1;
  if (connection.body_incoming)
    connection.accounting = Connection::Accounting::awaiting_body;
  else
    count_in_flight(connection);
  events_.push_back({.client = connection.id, .message = connection.request});
  if (connection.body_incoming) return;
  connection.request.reset();
  // epoll may have reported the client's close before: during the previous response, or before all input was
  // read. It does not report the close again.
  if (connection.peer_closed) report_client_gone(connection);
}

}  // namespace meadowgauge::proxy
