// DownstreamConnections: accepting connections, and shedding them to free capacity.
#include <memory>
#include <utility>

#include "proxy/downstream/connection.hpp"

namespace meadowgauge::proxy {

namespace {

// Time after connecting in which a silent connection is not shed.
constexpr double new_connection_grace_ms = 25;
// Time after the last received bytes in which an incomplete first request is not shed.
constexpr double partial_request_grace_ms = 100;
// Sockets examined per call of shed().
constexpr int max_sockets_tried = 16;

}  // namespace

void DownstreamConnections::accept_all() {
  for (accept_blocked_ = false; listener_.open();) {
    // Sheds idle connections first. The overflow above `max_served` is accepted so that its requests are
    // rejected at once: in the listen queue they would wait until their clients time out.
    if (connections_.size() >= limits_.max_served && !shed(ShedScope::idle) &&
        connections_.size() >= limits_.max_served + limits_.max_overflow &&
        !shed(ShedScope::partial_request)) {
      accept_blocked_ = true;
      // Retries when the grace of the newest connections is over.
      due_.set(transport::due_key(due_kind, accept_retry_id), accept_retry_due_,
               now_ms_ + new_connection_grace_ms);
      return;
    }
    bool full = false;
    auto fd = listener_.accept(full);
    if (!fd && full && shed(ShedScope::partial_request)) continue;
    accept_blocked_ = full;
    if (!fd) {
      if (stopping_ && !accept_blocked_) listener_.close();
      return;
    }
    auto id = next_id_++;
    auto& c = *connections_.emplace(id, std::make_unique<Connection>(*this, id, std::move(fd))).first->second;
    set_deadline(c, request_timeout_ms);
    offer_to_shed(c, ShedClass::silent);
  }
}

void DownstreamConnections::retry_accept() {
  if (accept_blocked_) accept_all();
}

void DownstreamConnections::offer_to_shed(Connection& c, ShedClass shed_class) {
  keep_from_shedding(c);
  c.shed_position = ShedPosition{shed_class, now_ms_, c.id};
  sheddable_.insert(*c.shed_position);
}

void DownstreamConnections::keep_from_shedding(Connection& c) {
  if (c.shed_position) sheddable_.erase(*c.shed_position);
  c.shed_position.reset();
}

bool DownstreamConnections::shed(ShedScope scope) {
  auto shed_grace_ms = [](ShedClass shed_class) {
    if (shed_class == ShedClass::silent) return new_connection_grace_ms;
    return shed_class == ShedClass::partial_request ? partial_request_grace_ms : 0;
  };
  int tried = 0;
  for (auto it = sheddable_.begin(); it != sheddable_.end() && tried < max_sockets_tried;) {
    const auto& [shed_class, since, id] = *it;
    if (shed_class == ShedClass::partial_request && scope == ShedScope::idle) break;
    // The grace protects a client whose request is on the wire from a flood of new connections.
    double grace_ms = shed_grace_ms(shed_class);
    if (scope != ShedScope::any && now_ms_ - since < grace_ms) {
      it = sheddable_.lower_bound(
          ShedPosition{static_cast<ShedClass>(static_cast<int>(shed_class) + 1), 0, 0});
      continue;
    }
    auto& c = *connections_.at(id);
    // Unread input may be a request.
    if (shed_class == ShedClass::lingering || c.stream.quiet()) {
      close(c);
      return true;
    }
    ++tried;
    ++it;
  }
  return false;
}

void DownstreamConnections::set_limits(const ConnectionLimits& limits) {
  limits_ = limits;
  while (connections_.size() > limits.max_served + limits.max_overflow && shed(ShedScope::idle)) {
  }
}

// Accepts the queued connections before the listener closes; in overload that waits for capacity.
void DownstreamConnections::stop_accepting() {
  stopping_ = true;
  accept_all();
}

}  // namespace meadowgauge::proxy
