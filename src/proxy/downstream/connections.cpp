#include "proxy/downstream/connections.hpp"

#include <sys/epoll.h>

#include <utility>

#include "proxy/downstream/connection.hpp"

namespace meadowgauge::proxy {

DownstreamConnections::DownstreamConnections(transport::Loop& loop, transport::Pool& pool,
                                             transport::DueTimes& due, const transport::Address& listen,
                                             const double& now_ms, std::size_t most_served,
                                             std::size_t most_beyond, RequestCounters& counters,
                                             transport::Listener::How how)
    : loop_(loop),
      pool_(pool),
      due_(due),
      now_ms_(now_ms),
      most_served_(most_served),
      most_beyond_(most_beyond),
      counters_(counters),
      listener_(loop, listen, *this, how) {}

DownstreamConnections::~DownstreamConnections() = default;

void DownstreamConnections::ready(std::uint32_t) { accept_all(); }

void DownstreamConnections::ready(Connection& c, std::uint32_t events) {
  c.peer_closed = c.peer_closed || events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR);
  switch (c.state) {
    case Connection::State::reading:
      read_request(c);
      if (c.state != Connection::State::in_flight) break;
      [[fallthrough]];  // the rest of its body may be here too
    case Connection::State::in_flight:
      if (c.body_incoming) {
        read_request_body(c);
        if (c.body_incoming) break;
      }
      // Nothing more is read while a request is in flight, so an end shows only here.
      if (c.peer_closed) report_gone(c);
      break;
    case Connection::State::responding:
      // Reset; an end of sending alone may be of one that still listens.
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
  // What came in the same moment counts: a turn tells of so many connections and no more, and a request whose
  // last byte is here is taken.
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

// The time it has for what comes next.
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
  if (request_class >= 0 || !c.counted) return;
  c.counted = false;
  counters_.in_flight -= std::exchange(c.counted_in_flight, false);
}

// Its request has ended, with that status or before any response was out.
void DownstreamConnections::count_outcome(Connection& c, int status) {
  if (!std::exchange(c.counted, false)) return;
  counters_.in_flight -= std::exchange(c.counted_in_flight, false);
  counters_.count(c.request_class, status);
}

// Between requests, with nothing of a next one here.
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

// The one place where a connection is closed.
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
