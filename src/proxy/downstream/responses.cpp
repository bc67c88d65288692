// DownstreamConnections: sending responses.
#include <sys/epoll.h>

#include <utility>

#include "protocol/http_writer.hpp"
#include "proxy/downstream/connection.hpp"

namespace meadowgauge::proxy {

using protocol::Message;
using transport::Stream;

namespace {

// Limit of bytes of a streamed response in the connection's send queue.
constexpr std::size_t max_queued_bytes = std::size_t{32} * 1024;
// A connection is closed if its client's system takes no byte of the pending response for this time.
constexpr double client_stall_ms = 10000;
constexpr double client_check_interval_ms = 2500;
// After the last response the connection stays open for `linger_ms`, or until `linger_bytes` of input are
// discarded: closing a socket with unread input sends a reset, on which the client may drop the response.
constexpr double linger_ms = 1000;
constexpr std::size_t linger_bytes = std::size_t{256} * 1024;
// Linger time of a connection whose request was answered before its body was complete.
constexpr double linger_incoming_body_ms = 10000;

}  // namespace

// Whether the connection closes after this response. An incomplete body is a reason, because its rest must
// not be parsed as the next request.
bool DownstreamConnections::is_last_response(const Connection& connection) const {
  return !connection.keep_alive || draining_ || connection.gone_reported || connection.body_incoming;
}

// The connection, if its request is in flight; otherwise null.
DownstreamConnections::Connection* DownstreamConnections::find_unanswered(ClientId id) {
  auto it = connections_.find(id);
  bool is_unanswered = it != connections_.end() && it->second->state == Connection::State::in_flight;
  return is_unanswered ? it->second.get() : nullptr;
}

void DownstreamConnections::send_response(ClientId id, SharedMessage response) {
  auto* found = find_unanswered(id);
  if (!found) return;
  auto& connection = *found;
  connection.status = 200;
  if (protocol::write_response(connection.stream.out(), *response, is_last_response(connection)))
    return start_sending(connection, true);
  connection.stream.out().clear();
  begin_response(id, std::move(response));
}

void DownstreamConnections::respond(ClientId id, int status, std::string_view header_lines,
                                    std::string_view body) {
  auto* found = find_unanswered(id);
  if (!found) return;
  auto& connection = *found;
  connection.status = status;
  start_sending(connection,
                protocol::write_local_response(connection.stream.out(), status, header_lines, body,
                                               is_last_response(connection), connection.head_only));
}

void DownstreamConnections::respond_and_close(ClientId id, int status) {
  if (auto it = connections_.find(id); it != connections_.end()) it->second->keep_alive = false;
  respond(id, status, "", "");
}

void DownstreamConnections::respond_and_close(Connection& connection, int status) {
  connection.state = Connection::State::in_flight;
  respond_and_close(connection.id, status);
}

void DownstreamConnections::begin_response(ClientId id, SharedMessage response) {
  auto* found = find_unanswered(id);
  if (!found) return;
  auto& connection = *found;
  connection.status = 200;
  connection.response = std::move(response);
  connection.response_ended = false;
  if (connection.http_1_0 && !connection.response->length()) connection.keep_alive = false;
  if (!protocol::write_response_head(connection.stream.out(), *connection.response,
                                     is_last_response(connection), connection.http_1_0, connection.chunked)) {
    connection.response.reset();
    report_client_gone(connection);
    return start_sending(connection, false);
  }
  connection.state = Connection::State::responding;
  unmark_sheddable(connection);
  watch_client_progress(connection);
  forward_response(connection);
}

void DownstreamConnections::continue_response(ClientId id) {
  auto it = connections_.find(id);
  if (it != connections_.end() && it->second->response) forward_response(*it->second);
}

void DownstreamConnections::abort_response(ClientId id) {
  auto it = connections_.find(id);
  if (it == connections_.end() || !it->second->response) return;
  auto& connection = *it->second;
  connection.response.reset();
  // Without a length or chunked framing an orderly close would mark the response as complete, so the
  // connection is reset.
  if (!connection.chunked) connection.stream.reset();
  close(connection);
}

// Starts to check that the client receives the response.
void DownstreamConnections::watch_client_progress(Connection& connection) {
  connection.acknowledged_at_ms = now_ms_;
  connection.acknowledged_bytes = connection.stream.acknowledged_bytes();
  set_deadline(connection, client_check_interval_ms);
}

// Closes the connection if its client receives nothing. What counts is what the client's system acknowledges:
// while the socket's send buffer is full, a client that reads slowly but steadily makes it writable only
// after many seconds. A client from which nothing is pending waits for the endpoint, and is not checked.
void DownstreamConnections::check_client_progress(Connection& connection) {
  auto acknowledged = connection.stream.acknowledged_bytes();
  bool pending = !connection.stream.flushed() || acknowledged < connection.stream.sent_bytes();
  if (!pending || acknowledged > connection.acknowledged_bytes) connection.acknowledged_at_ms = now_ms_;
  connection.acknowledged_bytes = acknowledged;
  if (now_ms_ - connection.acknowledged_at_ms >= client_stall_ms) return close(connection);
  set_deadline(connection, client_check_interval_ms);
}

// Moves the received part of a streamed response to the send queue, as far as the client reads it.
void DownstreamConnections::forward_response(Connection& connection) {
  bool moved = false;
  bool out_of_buffers = false;
  for (;;) {
    if (!connection.stream.flush()) return close(connection);
    if (connection.response_ended || connection.stream.out().size() >= max_queued_bytes) break;
    auto result =
        connection.response->move_body(connection.stream.out(), connection.chunked, max_queued_bytes);
    moved = moved || result == Message::MoveResult::moved;
    if (result == Message::MoveResult::moved) continue;
    out_of_buffers = result == Message::MoveResult::out_of_buffers;
    if (out_of_buffers || !connection.response->complete()) break;
    out_of_buffers = connection.chunked && !connection.stream.out().append(protocol::last_chunk);
    if (out_of_buffers) break;
    connection.response_ended = true;
  }
  if (moved && !connection.response->complete())
    events_.push_back({.kind = DownstreamEvent::response_taken, .client = connection.id});
  // Otherwise epoll reports when queued bytes can be sent, which frees space.
  if (out_of_buffers && connection.stream.flushed()) connection.stream.wait_for_buffer(EPOLLOUT);
  if (out_of_buffers) return;
  if (!connection.response_ended) return;
  connection.response.reset();
  continue_sending(connection);
}

// Starts to send the response in the send queue. `written`: false if the pool ran out of buffers for it.
void DownstreamConnections::start_sending(Connection& connection, bool written) {
  if (!written) {
    // Sends a 500 without a body instead, which needs a single buffer.
    connection.stream.out().clear();
    connection.keep_alive = false;
    connection.status = 500;
    written = protocol::write_local_response(connection.stream.out(), 500, "", "", true);
  }
  connection.state = Connection::State::responding;
  unmark_sheddable(connection);
  watch_client_progress(connection);
  if (!written) return close(connection);
  continue_sending(connection);
}

// Sends more of the response. After its end reads the next request, which may have arrived already, or
// lingers after the last response.
void DownstreamConnections::continue_sending(Connection& connection) {
  if (connection.response) return forward_response(connection);
  if (!connection.stream.flush()) return close(connection);
  if (!connection.stream.flushed()) return;
  count_outcome(connection, connection.status);
  if (is_last_response(connection)) {
    connection.state = Connection::State::lingering;
    connection.stream.end_sending();
    set_deadline(connection, connection.body_incoming ? linger_incoming_body_ms : linger_ms);
    mark_sheddable(connection, ShedClass::lingering);
    return discard_input(connection);
  }
  connection.state = Connection::State::reading;
  connection.body_due_base_ms = 0;
  connection.body_bytes = 0;
  clear_deadline(connection);
  mark_sheddable(connection, ShedClass::idle);
  read_request(connection);
}

// Discards input after the last response. Bounded, because a client may never stop sending.
void DownstreamConnections::discard_input(Connection& connection) {
  for (int i = 0; i < reads_per_turn; ++i) {
    connection.discarded_bytes += connection.stream.bytes().size();
    connection.stream.consume(connection.stream.bytes().size());
    if (connection.discarded_bytes > (connection.body_incoming ? protocol::max_streamed_body : linger_bytes))
      return close(connection);
    auto got = connection.stream.fill();
    if (got == Stream::ReadResult::nothing) return;
    if (got != Stream::ReadResult::bytes) return close(connection);
  }
  connection.stream.again(EPOLLIN);
}

}  // namespace meadowgauge::proxy
