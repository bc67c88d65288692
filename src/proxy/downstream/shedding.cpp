// DownstreamConnections: accepting connections, and shedding (closing) connections to free capacity.
#include <memory>
#include <utility>

#include "proxy/downstream/connection.hpp"

namespace meadowgauge::proxy {

namespace {

// For this time after connecting a silent connection is not shed.
constexpr double new_connection_grace_ms = 25;
// For this time after the last received bytes a connection with an incomplete first request is not shed.
constexpr double partial_request_grace_ms = 100;
// Limit of sockets examined per call of shed(), which makes a system call for each.
constexpr int max_sockets_examined = 16;

}  // namespace

void DownstreamConnections::accept_all() {
  for (accept_blocked_ = false; listener_.open();) {
    // Sheds idle connections first. Up to `max_overflow` further connections are accepted so that their
    // requests are rejected at once: in the listen queue they would wait until their clients time out.
    if (connections_.size() >= limits_.max_served && !shed(ShedScope::idle) &&
        connections_.size() >= limits_.max_served + limits_.max_overflow &&
        !shed(ShedScope::partial_request)) {
      accept_blocked_ = true;
      // Retries when the grace period of the newest connections has ended.
      due_.set(transport::due_key(due_kind, accept_retry_id), accept_retry_due_,
               now_ms_ + new_connection_grace_ms);
      return;
    }
    bool resources_exhausted = false;  // descriptors or memory
    auto fd = listener_.accept(resources_exhausted);
    if (!fd && resources_exhausted && shed(ShedScope::partial_request)) continue;
    accept_blocked_ = resources_exhausted;
    if (!fd) {
      if (stopping_ && !accept_blocked_) listener_.close();
      return;
    }
    auto id = next_id_++;
    auto& connection =
        *connections_.emplace(id, std::make_unique<Connection>(*this, id, std::move(fd))).first->second;
    set_deadline(connection, request_timeout_ms);
    mark_sheddable(connection, ShedClass::silent);
  }
}

void DownstreamConnections::retry_accept() {
  if (accept_blocked_) accept_all();
}

void DownstreamConnections::mark_sheddable(Connection& connection, ShedClass shed_class) {
  unmark_sheddable(connection);
  connection.shed_position = ShedPosition{shed_class, now_ms_, connection.id};
  sheddable_.insert(*connection.shed_position);
}

void DownstreamConnections::unmark_sheddable(Connection& connection) {
  if (connection.shed_position) sheddable_.erase(*connection.shed_position);
  connection.shed_position.reset();
}

bool DownstreamConnections::shed(ShedScope scope) {
  auto shed_grace_ms = [](ShedClass shed_class) {
    if (shed_class == ShedClass::silent) return new_connection_grace_ms;
    return shed_class == ShedClass::partial_request ? partial_request_grace_ms : 0;
  };
  int examined = 0;
  for (auto it = sheddable_.begin(); it != sheddable_.end() && examined < max_sockets_examined;) {
    const auto& [shed_class, since, id] = *it;
    if (shed_class == ShedClass::partial_request && scope == ShedScope::idle) break;
    // The grace period protects a client whose request is on the wire from being shed in a flood of new
    // connections. The oldest connection of a class comes first, so the others are in their grace period too.
    double grace_ms = shed_grace_ms(shed_class);
    if (scope != ShedScope::any && now_ms_ - since < grace_ms) {
      it = sheddable_.lower_bound(
          ShedPosition{static_cast<ShedClass>(static_cast<int>(shed_class) + 1), 0, 0});
      continue;
    }
    auto& connection = *connections_.at(id);
    // A connection with unread input is kept: the input may be a request.
    if (shed_class == ShedClass::lingering || connection.stream.quiet()) {
      close(connection);
      return true;
    }
    ++examined;
    ++it;
  }
  return false;
}

void DownstreamConnections::set_limits(const ConnectionLimits& limits) {
  limits_ = limits;
  while (connections_.size() > limits.max_served + limits.max_overflow && shed(ShedScope::idle)) {
  }
}

// Accepts the queued connections before the listener closes. In overload the listener stays open until there
// is capacity to accept them.
void DownstreamConnections::stop_accepting() {
  stopping_ = true;
  accept_all();
}

}  // namespace meadowgauge::proxy
