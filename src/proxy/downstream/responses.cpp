// DownstreamConnections: sending responses.
#include <sys/epoll.h>

#include <utility>

#include "protocol/http_writer.hpp"
#include "proxy/downstream/connection.hpp"

namespace meadowgauge::proxy {

using protocol::Message;
using transport::Stream;

namespace {

// Limit of queued bytes of a streamed response.
constexpr std::size_t max_queued_bytes = std::size_t{32} * 1024;
// After the last response the connection stays open for this time, or until this much input is discarded: a
// close with unread input sends a reset, on which the client may drop the response.
constexpr double linger_ms = 1000;
constexpr std::size_t linger_bytes = std::size_t{256} * 1024;
// Linger time of a connection that was answered before its body was complete.
constexpr double linger_incoming_body_ms = 10000;

}  // namespace

// The rest of an incomplete body must not be read as the next request.
bool DownstreamConnections::is_last_response(const Connection& c) const {
  return !c.keep_alive || draining_ || c.gone || c.body_incoming;
}

DownstreamConnections::Connection* DownstreamConnections::awaiting_response(ClientId id) {
  auto it = connections_.find(id);
  bool waits = it != connections_.end() && it->second->state == Connection::State::in_flight;
  return waits ? it->second.get() : nullptr;
}

void DownstreamConnections::send_response(ClientId id, const Message& response) {
  auto* found = awaiting_response(id);
  if (!found) return;
  auto& c = *found;
  c.status = 200;
  start_sending(c, protocol::write_response(c.stream.out(), response, is_last_response(c)));
}

void DownstreamConnections::respond(ClientId id, int status, std::string_view extra, std::string_view body) {
  auto* found = awaiting_response(id);
  if (!found) return;
  auto& c = *found;
  c.status = status;
  start_sending(c, protocol::write_local_response(c.stream.out(), status, extra, body, is_last_response(c),
                                                  c.head_only));
}

void DownstreamConnections::respond_and_close(ClientId id, int status) {
  if (auto it = connections_.find(id); it != connections_.end()) it->second->keep_alive = false;
  respond(id, status, "", "");
}

void DownstreamConnections::respond_and_close(Connection& c, int status) {
  c.state = Connection::State::in_flight;
  respond_and_close(c.id, status);
}

void DownstreamConnections::begin_response(ClientId id, SharedMessage response) {
  auto* found = awaiting_response(id);
  if (!found) return;
  auto& c = *found;
  c.status = 200;
  c.response = std::move(response);
  c.response_ended = false;
  if (c.http_1_0 && !c.response->length()) c.keep_alive = false;
  if (!protocol::write_response_head(c.stream.out(), *c.response, is_last_response(c), c.http_1_0,
                                     c.chunked)) {
    c.response.reset();
    report_gone(c);
    return start_sending(c, false);
  }
  c.state = Connection::State::responding;
  keep_from_shedding(c);
  set_deadline(c, send_stall_ms);
  pump_response(c);
}

void DownstreamConnections::continue_response(ClientId id) {
  auto it = connections_.find(id);
  if (it != connections_.end() && it->second->response) pump_response(*it->second);
}

void DownstreamConnections::abort_response(ClientId id) {
  auto it = connections_.find(id);
  if (it == connections_.end() || !it->second->response) return;
  auto& c = *it->second;
  c.response.reset();
  // Without length and chunks an orderly close would mark the response as complete.
  if (!c.chunked) c.stream.reset();
  close(c);
}

// Forwards the received part of a streamed response, as far as the client takes it.
void DownstreamConnections::pump_response(Connection& c) {
  bool moved = false;
  bool out_of_buffers = false;
  for (;;) {
    auto before = c.stream.out().size();
    if (!c.stream.flush()) return close(c);
    if (c.stream.out().size() < before) set_deadline(c, send_stall_ms);
    if (c.response_ended || c.stream.out().size() >= max_queued_bytes) break;
    auto how = c.response->move_body(c.stream.out(), c.chunked);
    moved = moved || how == Message::MoveResult::moved;
    if (how == Message::MoveResult::moved) continue;
    out_of_buffers = how == Message::MoveResult::out_of_buffers;
    if (out_of_buffers || !c.response->complete()) break;
    out_of_buffers = c.chunked && !c.stream.out().append(protocol::last_chunk);
    if (out_of_buffers) break;
    c.response_ended = true;
  }
  if (moved && !c.response->complete())
    events_.push_back({.kind = DownstreamEvent::response_taken, .client = c.id});
  if (out_of_buffers) return c.stream.again(EPOLLOUT);
  if (!c.response_ended) return;
  c.response.reset();
  continue_sending(c);
}

void DownstreamConnections::start_sending(Connection& c, bool written) {
  if (!written) {
    // Out of buffers: sends a bare status, which needs a single buffer.
    c.stream.out().clear();
    c.keep_alive = false;
    c.status = 500;
    written = protocol::write_local_response(c.stream.out(), 500, "", "", true);
  }
  c.state = Connection::State::responding;
  keep_from_shedding(c);
  set_deadline(c, send_stall_ms);
  if (!written) return close(c);
  continue_sending(c);
}

// Sends more of the response; after its end reads the next request, which may be received already.
void DownstreamConnections::continue_sending(Connection& c) {
  if (c.response) return pump_response(c);
  auto before = c.stream.out().size();
  if (!c.stream.flush()) return close(c);
  if (c.stream.out().size() < before) set_deadline(c, send_stall_ms);
  if (!c.stream.flushed()) return;
  count_outcome(c, c.status);
  if (is_last_response(c)) {
    c.state = Connection::State::lingering;
    c.stream.end_sending();
    set_deadline(c, c.body_incoming ? linger_incoming_body_ms : linger_ms);
    offer_to_shed(c, ShedClass::lingering);
    return discard_input(c);
  }
  c.state = Connection::State::reading;
  c.body_due_base_ms = 0;
  c.body_bytes = 0;
  clear_deadline(c);
  offer_to_shed(c, ShedClass::idle);
  read_request(c);
}

// Discards input after the last response, up to a bound, because a client may send without end.
void DownstreamConnections::discard_input(Connection& c) {
  for (int i = 0; i < reads_per_turn; ++i) {
    c.discarded_bytes += c.stream.bytes().size();
    c.stream.consume(c.stream.bytes().size());
    if (c.discarded_bytes > (c.body_incoming ? protocol::max_streamed_body : linger_bytes)) return close(c);
    auto got = c.stream.fill();
    if (got == Stream::Got::nothing) return;
    if (got != Stream::Got::bytes) return close(c);
  }
  c.stream.again(EPOLLIN);
}

}  // namespace meadowgauge::proxy
