// DownstreamConnections: accepting connections, and closing those that can be spared to make room.
#include <memory>
#include <utility>

#include "proxy/downstream/connection.hpp"

namespace meadowgauge::proxy {

namespace {

// Not shed for this long after connecting, and after the last bytes of a first request.
constexpr double new_connection_grace_ms = 25, partial_request_grace_ms = 100;
// How many sockets are looked at for one that can be shed.
constexpr int most_sockets_tried = 16;

}  // namespace

void DownstreamConnections::accept_all() {
  for (accept_blocked_ = false; listener_.open();) {
    // Idle ones make way first. Beyond the bound there is still room to read what comes and to reject it:
    // a request that waits with the system is as good as taken, and lost when its time is over.
    if (connections_.size() >= most_served_ && !shed(ShedScope::idle) &&
        connections_.size() >= most_served_ + most_beyond_ && !shed(ShedScope::partial_request)) {
      accept_blocked_ = true;
      // Some of those that have only just connected can be spared by then.
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
  for (auto it = sheddable_.begin(); it != sheddable_.end() && tried < most_sockets_tried;) {
    const auto& [shed_class, since, id] = *it;
    if (shed_class == ShedClass::partial_request && scope == ShedScope::idle) break;
    // A flood of connections would push out, in one batch, a client whose request is on its way.
    double grace_ms = shed_grace_ms(shed_class);
    if (scope != ShedScope::any && now_ms_ - since < grace_ms) {
      it = sheddable_.lower_bound(
          ShedPosition{static_cast<ShedClass>(static_cast<int>(shed_class) + 1), 0, 0});
      continue;
    }
    auto& c = *connections_.at(id);
    // With something unread there may be a request in it.
    if (shed_class == ShedClass::lingering || c.stream.quiet()) {
      close(c);
      return true;
    }
    ++tried;
    ++it;
  }
  return false;
}

void DownstreamConnections::set_limits(std::size_t most_served, std::size_t most_beyond) {
  most_served_ = most_served;
  most_beyond_ = most_beyond;
  while (connections_.size() > most_served + most_beyond && shed(ShedScope::idle)) {
  }
}

// What has come before the end is taken: in overload that lasts until there is room.
void DownstreamConnections::stop_accepting() {
  stopping_ = true;
  accept_all();
}

}  // namespace meadowgauge::proxy
