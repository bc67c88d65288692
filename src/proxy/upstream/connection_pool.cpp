#include "proxy/upstream/connection_pool.hpp"

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <utility>

namespace meadowgauge::proxy {

using transport::DueTimes;
using transport::Stream;
using State = UpstreamConnection::State;

ConnectionPool::ConnectionPool(const Parts& parts, const ConnectionPoolSettings& settings, Logger log,
                               std::function<bool()> free_descriptor)
    : loop_(parts.loop),
      buffers_(parts.buffers),
      due_times_(parts.due_times),
      now_ms_(parts.now_ms),
      endpoints_(parts.endpoints),
      handler_(parts.handler),
      settings_(settings),
      log_(std::move(log)),
      free_descriptor_(std::move(free_descriptor)),
      idle_timeout_(settings.idle_timeout_ms) {}

void ConnectionPool::reset_endpoint(EndpointIndex endpoint) {
  auto index = position_of(endpoint);
  if (index >= endpoint_counters_.size()) endpoint_counters_.resize(index + 1);
  endpoint_counters_[index] = {};
}

UpstreamConnection* ConnectionPool::find(ConnectionId id) const {
  auto it = connections_.find(id);
  return it == connections_.end() ? nullptr : it->second.get();
}

void ConnectionPool::set_due(UpstreamConnection& connection, double at_ms) {
  due_times_.set(transport::due_key(due_kind, connection.id()), connection.due_ms(), at_ms);
}

bool ConnectionPool::dial(EndpointIndex endpoint) {
  const auto& address = endpoints_.dial_address(endpoint);
  if (!address) return false;
  while (connections_.size() >= settings_.max_connections)
    if (!evict_one()) return false;
  auto fd = Stream::dial(*address);
  while (!fd && errno == EMFILE && (evict_one() || free_descriptor_())) fd = Stream::dial(*address);
  if (!fd) {
    log_dial_failed(endpoint, errno);
    return false;
  }
  auto id = next_id_++;
  auto connection = std::make_unique<UpstreamConnection>(
      UpstreamConnection::Parts{.loop = loop_, .buffers = buffers_, .handler = handler_}, id, endpoint,
      endpoints_.generation(endpoint), std::move(fd));
  ++counters(endpoint).dialling;
  ++counters(endpoint).open;
  set_due(*connection, now_ms_ + settings_.dial_timeout_ms);
  connections_.emplace(id, std::move(connection));
  return true;
}

void ConnectionPool::log_dial_failed(EndpointIndex endpoint, int error) const {
  const auto& name = endpoints_.name(endpoint);
  std::string_view reason = std::strerror(error);
  log_(Level::debug, std::string("endpoint ").append(name).append(" dial failed: ").append(reason),
       {{"endpoint", name}, {"reason", reason}});
}

void ConnectionPool::dial_succeeded(UpstreamConnection& connection) {
  record_activity(connection.endpoint());
  --counters(connection.endpoint()).dialling;
  set_due(connection, DueTimes::none);
  connection.become_idle();
}

// Also checks the socket: a close that arrived together with the response raises no further event.
bool ConnectionPool::is_usable(const UpstreamConnection& connection) const {
  return connection.generation() == endpoints_.generation(connection.endpoint()) &&
         connection.stream().quiet();
}

UpstreamConnection* ConnectionPool::take_idle(EndpointIndex endpoint) {
  auto& idle = counters(endpoint).idle;
  while (!idle.empty()) {
    auto& connection = at(idle.back().id);
    if (!connection.stream().quiet()) {
      close(connection);
      continue;
    }
    // Older connections stay in the pool unused: IdleTimeoutEstimator records when endpoints close them.
    if (now_ms_ - idle.back().since_ms >= idle_timeout_.max_reuse_idle_ms(now_ms_)) return nullptr;
    idle.pop_back();
    return &connection;
  }
  return nullptr;
}

void ConnectionPool::keep_idle(UpstreamConnection& connection) {
  assert(connection.state() == State::idle);
  connection.set_idle_since_ms(now_ms_);
  counters(connection.endpoint()).idle.push_back({.id = connection.id(), .since_ms = now_ms_});
}

void ConnectionPool::settle(UpstreamConnection& connection) {
  connection.settle();
  set_due(connection, now_ms_ + settings_.settle_ms);
}

void ConnectionPool::finish_settling(UpstreamConnection& connection) {
  set_due(connection, DueTimes::none);
  connection.become_idle();
}

void ConnectionPool::close(UpstreamConnection& connection) {
  if (connection.state() == State::closed) return;
  auto& endpoint = counters(connection.endpoint());
  auto id = connection.id();
  if (connection.state() == State::dialling) --endpoint.dialling;
  if (connection.state() == State::idle)
    std::erase_if(endpoint.idle, [id](const IdleConnection& idle) { return idle.id == id; });
  --endpoint.open;
  set_due(connection, DueTimes::none);
  connection.close();
  auto it = connections_.find(id);
  closed_.push_back(std::move(it->second));
  connections_.erase(it);
}

void ConnectionPool::close_ended_idle(UpstreamConnection& connection) {
  idle_timeout_.closed_by_endpoint(connection.endpoint(), now_ms_ - connection.idle_since_ms(), now_ms_);
  close(connection);
}

void ConnectionPool::close_idle(EndpointIndex endpoint) {
  auto& idle = counters(endpoint).idle;
  while (!idle.empty()) close(at(idle.back().id));
}

// A silent endpoint may have lost its idle connections without closing them. The first request written to
// such a connection is reset, and a non-idempotent request cannot be retried after a reset.
void ConnectionPool::close_idle_if_silent(EndpointIndex endpoint, double since_ms) {
  if (counters(endpoint).last_activity_ms <= since_ms) close_idle(endpoint);
}

void ConnectionPool::close_expired() {
  double expires_after_ms = idle_timeout_.close_after_ms();
  for (auto& endpoint : endpoint_counters_)
    while (!endpoint.idle.empty() && now_ms_ - endpoint.idle.front().since_ms >= expires_after_ms)
      close(at(endpoint.idle.front().id));
}

void ConnectionPool::set_max_connections(std::size_t max_connections) {
  settings_.max_connections = max_connections;
  while (connections_.size() > max_connections && evict_one()) {
  }
}

bool ConnectionPool::evict_one() {
  const IdleConnection* oldest = nullptr;
  for (const auto& endpoint : endpoint_counters_)
    if (!endpoint.idle.empty() && (!oldest || endpoint.idle.front().since_ms < oldest->since_ms))
      oldest = &endpoint.idle.front();
  UpstreamConnection* candidate = oldest ? &at(oldest->id) : nullptr;
  if (!candidate)
    for (const auto& [id, connection] : connections_)
      if (connection->state() == State::settling) candidate = connection.get();
  if (candidate) close(*candidate);
  return candidate != nullptr;
}

std::optional<BrokenUpstreamInvariant> ConnectionPool::broken_invariant() const {
  for (const auto& [id, connection] : connections_) {
    if (connection->id() != id)
      return BrokenUpstreamInvariant{.invariant = UpstreamInvariant::connection_keyed_by_id};
    if (connection->state() == State::closed)
      return BrokenUpstreamInvariant{.invariant = UpstreamInvariant::closed_connection_removed};
    if ((connection->state() == State::in_flight) != (connection->attempt() != 0))
      return BrokenUpstreamInvariant{.invariant = UpstreamInvariant::attempt_only_in_flight};
  }
  for (std::size_t i = 0; i < endpoint_counters_.size(); ++i)
    if (auto broken = broken_invariant(static_cast<EndpointIndex>(i))) return broken;
  return {};
}

std::optional<BrokenUpstreamInvariant> ConnectionPool::broken_invariant(EndpointIndex endpoint) const {
  int open = 0;
  int dialling = 0;
  std::size_t idle = 0;
  for (const auto& [id, connection] : connections_) {
    if (connection->endpoint() != endpoint) continue;
    ++open;
    dialling += connection->state() == State::dialling ? 1 : 0;
    idle += connection->state() == State::idle ? 1 : 0;
  }
  const auto& counted = counters(endpoint);
  if (open != counted.open)
    return BrokenUpstreamInvariant{.invariant = UpstreamInvariant::open_connections_counted};
  if (dialling != counted.dialling)
    return BrokenUpstreamInvariant{.invariant = UpstreamInvariant::dials_counted};
  if (idle != counted.idle.size())
    return BrokenUpstreamInvariant{.invariant = UpstreamInvariant::idle_connections_kept};
  double since_ms = 0;
  for (const auto& kept : counted.idle) {
    const auto* connection = find(kept.id);
    if (!connection || connection->state() != State::idle || connection->endpoint() != endpoint)
      return BrokenUpstreamInvariant{.invariant = UpstreamInvariant::kept_connection_idle};
    if (connection->idle_since_ms() != kept.since_ms || kept.since_ms < since_ms)
      return BrokenUpstreamInvariant{.invariant = UpstreamInvariant::idle_connections_ordered_by_age};
    since_ms = kept.since_ms;
  }
  return {};
}

}  // namespace meadowgauge::proxy
