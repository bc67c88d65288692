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

void DownstreamConnections::ready(Connection& connection, std::uint32_t events) {
  connection.peer_closed = connection.peer_closed || (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  switch (connection.state) {
    case Connection::State::reading:
      read_request(connection);
      if (connection.state != Connection::State::in_flight) break;
      [[fallthrough]];  // more of the body may have arrived
    case Connection::State::in_flight:
      if (connection.body_incoming) read_request_body(connection);
      // Nothing is read while a complete request is in flight or its body is paused, so only the event shows
      // that the client has closed.
      if (connection.peer_closed && connection.state == Connection::State::in_flight)
        report_client_gone(connection);
      break;
    case Connection::State::responding:
      // The connection was reset. EPOLLRDHUP alone may be a half-close, after which the client still reads.
      if (connection.response && events & (EPOLLHUP | EPOLLERR)) return close(connection);
      continue_sending(connection);
      break;
    case Connection::State::lingering:
      return discard_input(connection);
    case Connection::State::closed:
      break;
  }
}

void DownstreamConnections::deadline_reached(ClientId id) {
  if (id == accept_retry_id) {
    due_.set(transport::due_key(due_kind, accept_retry_id), accept_retry_due_, transport::DueTimes::none);
    return retry_accept();
  }
  auto& connection = *connections_.at(id);
  bool reading = connection.state == Connection::State::reading;
  bool body_incoming = connection.state == Connection::State::in_flight && connection.body_incoming;
  // Reads first: the request's last byte may have arrived although its event is not dispatched yet, because
  // the number of events per loop turn is limited.
  if (reading || body_incoming) {
    if (reading)
      read_request(connection);
    else
      read_request_body(connection);
    if (connection.due_ms > now_ms_) return;
  }
  if (connection.state == Connection::State::reading && connection.request && connection.request->started())
    return respond_and_close(connection, 408);
  if (connection.state == Connection::State::in_flight && connection.body_incoming)
    return body_deadline_reached(connection);
  if (connection.state == Connection::State::responding) return check_client_progress(connection);
  close(connection);
}

// The client has not sent its body in time, unless reading is paused: then the response is due.
void DownstreamConnections::body_deadline_reached(Connection& connection) {
  if (connection.unread_since_ms > 0) {
    clear_deadline(connection);
    events_.push_back({.kind = DownstreamEvent::response_due, .client = connection.id});
    return;
  }
  report_client_gone(connection);
  respond_and_close(connection, 408);
}

// Sets the connection's deadline to `ms` from now; replaces the former deadline.
void DownstreamConnections::set_deadline(Connection& connection, double ms) {
  due_.set(transport::due_key(due_kind, connection.id), connection.due_ms, now_ms_ + ms);
}

void DownstreamConnections::clear_deadline(Connection& connection) {
  due_.set(transport::due_key(due_kind, connection.id), connection.due_ms, transport::DueTimes::none);
}

void DownstreamConnections::set_request_class(ClientId id, int request_class) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  auto& connection = *it->second;
  connection.request_class = request_class;
  if (request_class < 0) end_accounting(connection);
}

// Ends the accounting of the request. False: the request was not counted.
bool DownstreamConnections::end_accounting(Connection& connection) {
  auto accounting = std::exchange(connection.accounting, Connection::Accounting::none);
  if (accounting == Connection::Accounting::in_flight) --counters_.in_flight;
  return accounting != Connection::Accounting::none;
}

// Counts the end of a request. `status`: of the response, or 500 if the connection closed before it.
void DownstreamConnections::count_outcome(Connection& connection, int status) {
  if (!end_accounting(connection)) return;
  counters_.count(connection.request_class, status);
}

// Whether the connection is between requests, with no byte of the next request received.
bool DownstreamConnections::idle(const Connection& connection) {
  return connection.state == Connection::State::reading &&
         !(connection.request && connection.request->started()) && connection.stream.bytes().empty() &&
         connection.stream.quiet();
}

void DownstreamConnections::drain() {
  draining_ = true;
  std::vector<Connection*> idle_connections;
  for (auto& [id, connection] : connections_)
    if (idle(*connection)) idle_connections.push_back(connection.get());
  for (auto* connection : idle_connections) close(*connection);
}

bool DownstreamConnections::has_left(ClientId id) const {
  auto it = connections_.find(id);
  return it == connections_.end() || it->second->gone_reported;
}

// Reports client_gone, once per connection.
void DownstreamConnections::report_client_gone(Connection& connection) {
  if (!connection.gone_reported)
    events_.push_back({.kind = DownstreamEvent::client_gone, .client = connection.id});
  connection.gone_reported = true;
}

// The only function that closes a connection. The object lives until destroy_closed(), because callers still
// refer to it.
void DownstreamConnections::close(Connection& connection) {
  if (connection.state == Connection::State::closed) return;
  if (connection.state == Connection::State::in_flight || connection.response) report_client_gone(connection);
  count_outcome(connection, 500);
  connection.state = Connection::State::closed;
  unmark_sheddable(connection);
  clear_deadline(connection);
  connection.stream.close();
  auto it = connections_.find(connection.id);
  closed_.push_back(std::move(it->second));
  connections_.erase(it);
}

void DownstreamConnections::destroy_closed() {
  bool descriptors_freed = !closed_.empty();
  closed_.clear();
  if (accept_blocked_ && descriptors_freed) accept_all();
}

}  // namespace meadowgauge::proxy
