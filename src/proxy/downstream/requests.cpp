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

// A body has, from its head on, this long and as long as its bytes take at this rate: half of what a slow
// line brings. The grace ends so long after the request was due without a body, at the latest.
constexpr double body_grace_ms = 800, most_body_grace_ms = 400, least_body_bytes_per_ms = 32;

}  // namespace

void DownstreamConnections::read_request(Connection& c) {
  for (int i = 0; i < reads_per_turn; ++i) {
    while (!c.stream.bytes().empty()) {
      if (!c.request)
        c.request = std::make_shared<Message>(pool_, Message::Kind::request, Message::Body::streaming);
      if (!c.has_sent_request) {
        // By the time without progress: a slow client's bytes go on coming, those of one that never ends do
        // not.
        offer_to_shed(c, ShedClass::partial_request);
      } else if (!c.request->started()) {
        keep_from_shedding(c);
        set_deadline(c, request_timeout_ms);
      }
      bool had_head = c.request->head_complete();
      bool fed = feed(c);
      if (c.request->fault() != Fault::none)
        return respond_and_close(c, static_cast<int>(c.request->fault()));
      if (!had_head && c.request->head_complete() && !c.request->complete())
        c.body_due_base =
            std::max(c.due_ms, std::min(now_ms_ + body_grace_ms, c.due_ms + most_body_grace_ms));
      if (c.request->complete() || c.request->buffer_full()) return request_received(c);
      if (!fed) return c.stream.again(EPOLLIN);
    }
    if (c.request && c.request->head_complete() && !c.continue_sent &&
        protocol::contains_token(c.request->find("Expect"), "100-continue")) {
      c.continue_sent = true;
      if (!c.stream.out().append("HTTP/1.1 100 Continue\r\n\r\n") || !c.stream.flush()) return close(c);
    }
    auto got = c.stream.fill();
    if (got == Stream::Got::nothing) return;
    if (got != Stream::Got::bytes) return close(c);  // what was not whole was not taken
  }
  c.stream.again(EPOLLIN);
}

// Takes what has come of the request; a body has as long as its bytes are worth. False: there is no buffer
// now.
bool DownstreamConnections::feed(Connection& c) {
  auto n = c.request->feed(c.stream.bytes());
  c.stream.consume(n);
  if (c.request->out_of_buffers()) return false;
  if (!c.request->head_complete() || c.body_due_base == 0) return true;
  c.body_bytes += n;
  set_deadline(c, c.body_due_base + static_cast<double>(c.body_bytes) / least_body_bytes_per_ms - now_ms_);
  return true;
}

// What comes of a body whose request is in flight already.
void DownstreamConnections::read_request_body(Connection& c) {
  auto report = [&] {
    if (!std::exchange(c.body_event_pending, true))
      events_.push_back({.kind = DownstreamEvent::body_received, .client = c.id});
  };
  for (int i = 0; i < reads_per_turn; ++i) {
    while (!c.stream.bytes().empty()) {
      if (c.request->buffer_full()) {  // until there is room, which is not the client's affair
        c.paused_at_ms = now_ms_;
        return set_deadline(c, send_stall_ms);
      }
      bool fed = feed(c);
      if (c.request->fault() != Fault::none) {
        report_gone(c);
        return respond_and_close(c, static_cast<int>(c.request->fault()));
      }
      report();
      if (c.request->complete()) {
        c.body_incoming = false;
        c.request.reset();
        c.counted_in_flight = c.counted;
        counters_.in_flight += c.counted_in_flight;
        if (c.peer_closed) report_gone(c);
        return clear_deadline(c);
      }
      if (!fed) return c.stream.again(EPOLLIN);
    }
    auto got = c.stream.fill();
    if (got == Stream::Got::nothing) return;
    if (got != Stream::Got::bytes) return close(c);  // what was not whole was not taken
  }
  c.stream.again(EPOLLIN);
}

void DownstreamConnections::request_body_forwarded(ClientId id) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  auto& c = *it->second;
  c.body_event_pending = false;
  if (c.state != Connection::State::in_flight || !c.body_incoming) return;
  if (c.paused_at_ms > 0) c.body_due_base += now_ms_ - std::exchange(c.paused_at_ms, 0);
  read_request_body(c);
}

void DownstreamConnections::request_received(Connection& c) {
  c.state = Connection::State::in_flight;
  c.keep_alive = c.request->keep_alive();
  c.http_1_0 = c.request->is_http_1_0();
  c.body_incoming = !c.request->complete();
  c.body_event_pending = false;
  c.head_only = c.request->method() == "HEAD";
  c.continue_sent = false;
  c.has_sent_request = true;
  keep_from_shedding(c);
  if (!c.body_incoming) clear_deadline(c);
  c.counted = true;
  c.request_class = -1;
  c.counted_in_flight = !c.body_incoming;  // taken with its last byte
  counters_.in_flight += c.counted_in_flight;
  events_.push_back({.client = c.id, .message = c.request});
  if (c.body_incoming) return;
  c.request.reset();
  // Its end may have been told before, with the response before it still on its way or bytes of it unread.
  if (c.peer_closed) report_gone(c);
}

}  // namespace meadowgauge::proxy
