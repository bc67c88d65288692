#include "proxy/downstream/connections.hpp"

#include <sys/epoll.h>

#include <utility>

#include "proxy/downstream/connection.hpp"

namespace meadowgauge::proxy {

DownstreamConnections::DownstreamConnections(const Parts& parts, const transport::Address& listen,
                                             const ConnectionLimits& limits, transport::Listener::How how)
    : loop_(parts.loop),
      pool_(parts.buffers),
      due_(parts.due_times),
      now_ms_(parts.now_ms),
      limits_(limits),
      counters_(parts.counters),
      listener_(parts.loop, listen, *this, how) {}

DownstreamConnections::~DownstreamConnections() = default;

void DownstreamConnections::ready(std::uint32_t) { accept_all(); }

void DownstreamConnections::ready(Connection& c, std::uint32_t events) {
  c.peer_closed = c.peer_closed || (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  switch (c.state) {
    case Connection::State::reading:
      read_request(c);
      if (c.state != Connection::State::in_flight) break;
      [[fallthrough]];  // more of the body may have arrived
    case Connection::State::in_flight:
      if (c.body_incoming) {
        read_request_body(c);
        if (c.body_incoming) break;
      }
      // With a complete request in flight nothing is read, so only the event shows the client's close.
      if (c.peer_closed) report_gone(c);
      break;
    case Connection::State::responding:
      // Reset. EPOLLRDHUP alone may be a half-close: such a client still reads.
      if (c.response && events & (EPOLLHUP | EPOLLERR)) return close(c);
      continue_sending(c);
      break;
    case Connection::State::lingering:
      return discard_input(c);
    case Connection::State::closed:
      break;
  }
}

void DownstreamConnections::deadline_reached(ClientId id) {
  if (id == accept_retry_id) {
    due_.set(transport::due_key(due_kind, accept_retry_id), accept_retry_due_, transport::DueTimes::none);
    return retry_accept();
  }
  auto& c = *connections_.at(id);
  bool reading = c.state == Connection::State::reading;
  bool body_incoming = c.state == Connection::State::in_flight && c.body_incoming;
  // Reads first: the request's last byte may have arrived whose event is still queued, as a turn has a limit
  // of events.
  if (reading || body_incoming) {
    if (reading)
      read_request(c);
    else
      read_request_body(c);
    if (c.due_ms > now_ms_) return;
  }
  if (c.state == Connection::State::reading && c.request && c.request->started())
    return respond_and_close(c, 408);
  if (c.state == Connection::State::in_flight && c.body_incoming) {
    report_gone(c);
    return respond_and_close(c, 408);
  }
  close(c);
}

// The connection's deadline, in ms from now; replaces the former deadline.
void DownstreamConnections::set_deadline(Connection& c, double ms) {
  due_.set(transport::due_key(due_kind, c.id), c.due_ms, now_ms_ + ms);
}

void DownstreamConnections::clear_deadline(Connection& c) {
  due_.set(transport::due_key(due_kind, c.id), c.due_ms, transport::DueTimes::none);
}

void DownstreamConnections::set_request_class(ClientId id, int request_class) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  auto& c = *it->second;
  c.request_class = request_class;
  if (request_class < 0) end_accounting(c);
}

// Ends the accounting of the request. False: the request was not counted.
bool DownstreamConnections::end_accounting(Connection& c) {
  auto accounting = std::exchange(c.accounting, Connection::Accounting::none);
  if (accounting == Connection::Accounting::in_flight) --counters_.in_flight;
  return accounting != Connection::Accounting::none;
}

// Counts the end of a request. `status`: of the response, or 500 if the connection closed before it.
void DownstreamConnections::count_outcome(Connection& c, int status) {
  if (!end_accounting(c)) return;
  counters_.count(c.request_class, status);
}

// Between requests, with no byte of the next request received.
bool DownstreamConnections::idle(const Connection& c) {
  return c.state == Connection::State::reading && !(c.request && c.request->started()) &&
         c.stream.bytes().empty() && c.stream.quiet();
}

void DownstreamConnections::drain() {
  draining_ = true;
  std::vector<Connection*> all;
  for (auto& [id, c] : connections_)
    if (idle(*c)) all.push_back(c.get());
  for (auto* c : all) close(*c);
}

void DownstreamConnections::report_gone(Connection& c) {
  if (!c.gone) events_.push_back({.kind = DownstreamEvent::client_gone, .client = c.id});
  c.gone = true;
}

// Every close of a connection goes through here.
void DownstreamConnections::close(Connection& c) {
  if (c.state == Connection::State::closed) return;
  if (c.state == Connection::State::in_flight || c.response) report_gone(c);
  count_outcome(c, 500);
  c.state = Connection::State::closed;
  keep_from_shedding(c);
  clear_deadline(c);
  c.stream.close();
  auto it = connections_.find(c.id);
  closed_.push_back(std::move(it->second));
  connections_.erase(it);
}

void DownstreamConnections::destroy_closed() {
  bool descriptors_freed = !closed_.empty();
  closed_.clear();
  if (accept_blocked_ && descriptors_freed) accept_all();
}

}  // namespace meadowgauge::proxy
