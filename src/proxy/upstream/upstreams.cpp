#include "proxy/upstream/upstreams.hpp"

#include <sys/epoll.h>

#include <algorithm>
#include <utility>

namespace meadowgauge::proxy {

using transport::DueTimes;
using State = UpstreamConnection::State;

namespace {

// Bounds concurrent dials to one endpoint: dials to an unreachable machine hang until they time out.
constexpr int max_dials_per_endpoint = 8;

}  // namespace

Upstreams::Upstreams(const Parts& parts, const ConnectionPoolSettings& settings, Logger log,
                     std::function<bool()> free_descriptor)
    : due_times_(parts.due_times),
      now_ms_(parts.now_ms),
      read_clock_ms_(parts.read_clock_ms),
      dial_timeout_ms_(settings.dial_timeout_ms),
      log_(std::move(log)),
      connections_({.loop = parts.loop,
                    .buffers = parts.buffers,
                    .due_times = parts.due_times,
                    .now_ms = parts.now_ms,
                    .endpoints = endpoints_,
                    .handler = *this},
                   settings, log_, std::move(free_descriptor)) {}

// --- Endpoints -------------------------------------------------------------------------------------------

EndpointIndex Upstreams::index_of(const std::string& name) {
  if (auto known = endpoints_.find(name); known != no_endpoint) return known;
  auto endpoint = endpoints_.add(name);
  connections_.reset_endpoint(endpoint);
  waiting_attempts_.resize(endpoints_.size());
  waiting_attempts(endpoint).clear();
  return endpoint;
}

void Upstreams::update_address(EndpointIndex endpoint, const std::string& address, double started_at_ms,
                               bool active) {
  bool is_other_process = endpoints_.update(endpoint, address, started_at_ms, active);
  if (!address.empty() && !endpoints_.dial_address(endpoint)) log_invalid_address(endpoint, address);
  // Attempts that wait for a connection were picked for the process before: its slow start, key group and
  // latencies were decisive.
  if (is_other_process || !endpoints_.accepts_attempts(endpoint)) stop_attempts(endpoint);
}

void Upstreams::log_invalid_address(EndpointIndex endpoint, const std::string& address) const {
  const auto& name = endpoints_.name(endpoint);
  log_(Level::warning,
       std::string("endpoint ").append(name).append(" has an invalid address: ").append(address),
       {{"endpoint", name}, {"address", address}});
}

void Upstreams::set_manual_drain(EndpointIndex endpoint, bool drained) {
  endpoints_.set_manual_drain(endpoint, drained);
  if (drained)
    stop_attempts(endpoint);
  else
    connections_.close_idle(endpoint);  // the endpoint may have been restarted
}

void Upstreams::remove(EndpointIndex endpoint) {
  if (endpoints_.remove(endpoint)) stop_attempts(endpoint);
}

// Closes idle connections and fails the attempts that wait for a connection: no new request may be sent to a
// drained endpoint, or to the successor of the process that was picked. The policy picks an endpoint anew.
void Upstreams::stop_attempts(EndpointIndex endpoint) {
  connections_.close_idle(endpoint);
  for (auto id : std::exchange(waiting_attempts(endpoint), {}))
    complete(attempts_.find(id), Outcome::unreachable);
}

void Upstreams::reclaim_indices(const std::function<bool(EndpointIndex endpoint)>& in_use) {
  endpoints_.reclaim([&](EndpointIndex endpoint) {
    return connections_.open(endpoint) > 0 || !waiting_attempts(endpoint).empty() || in_use(endpoint);
  });
}

// --- Attempts --------------------------------------------------------------------------------------------

void Upstreams::start(AttemptId id, EndpointIndex endpoint, SharedMessage request,
                      const AttemptLimits& limits) {
  // The forwarded part of a body is no longer in memory, so the request cannot be sent again.
  if (request->partly_forwarded()) {
    events_.push_back(
        {.attempt = id, .endpoint = endpoint, .outcome = Outcome::unreachable, .started_at_ms = now_ms_});
    return;
  }
  begin(id, {endpoint,
             UpstreamRequest::from_client(std::move(request), limits.streaming_budget_ms),
             {.started_at_ms = now_ms_,
              .limit_at_ms = now_ms_ + limits.limit_ms,
              .connect_by_ms = now_ms_ + dial_timeout_ms_,
              .send_by_ms = now_ms_ + limits.send_by_ms}});
}

void Upstreams::start_health_check(AttemptId id, EndpointIndex endpoint, std::string_view path,
                                   double limit_ms) {
  if (attempts_.contains(id)) return;
  begin(id, {endpoint,
             UpstreamRequest::health_check(path),
             {.started_at_ms = now_ms_,
              .limit_at_ms = now_ms_ + limit_ms,
              .connect_by_ms = now_ms_ + dial_timeout_ms_}});
}

void Upstreams::begin(AttemptId id, UpstreamAttempt attempt) {
  EndpointIndex endpoint = attempt.endpoint();
  auto entry = attempts_.insert_or_assign(id, std::move(attempt)).first;
  if (!may_send(entry->second)) return complete(entry, Outcome::unreachable);
  if (auto* connection = connections_.take_idle(endpoint)) return send_request(*connection, entry);
  set_due(entry, entry->second.timeout_at_ms());
  waiting_attempts(endpoint).push_back(id);
  dial_for_waiting(endpoint);
}

void Upstreams::set_due(AttemptEntry entry, double at_ms) {
  due_times_.set(transport::due_key(attempt_due_kind, entry->first), entry->second.due_ms(), at_ms);
}

void Upstreams::set_limit(AttemptId id, double limit_ms) {
  auto entry = attempts_.find(id);
  if (entry == attempts_.end() || entry->second.streams_response()) return;
  entry->second.set_limit_at_ms(now_ms_ + limit_ms);
  set_due(entry, entry->second.timeout_at_ms());
}

void Upstreams::limit_sending(AttemptId id, double send_by_ms) {
  auto entry = attempts_.find(id);
  if (entry == attempts_.end() || entry->second.is_sent()) return;
  entry->second.limit_sending(now_ms_ + send_by_ms);
  set_due(entry, entry->second.timeout_at_ms());
}

bool Upstreams::expire(AttemptId id) {
  auto entry = attempts_.find(id);
  if (entry == attempts_.end()) return false;
  bool sent = entry->second.is_sent();
  release_connection(entry);
  connections_.close_idle_if_silent(entry->second.endpoint(), entry->second.started_at_ms());
  complete(entry, sent ? Outcome::timeout : Outcome::unreachable);
  return true;
}

bool Upstreams::cancel(AttemptId id) {
  auto entry = attempts_.find(id);
  if (entry == attempts_.end()) return false;
  release_connection(entry);
  set_due(entry, DueTimes::none);
  attempts_.erase(entry);
  return true;
}

// Allowed even where the settings forbid cancelling requests: no endpoint has the complete request, so there
// is nothing to cancel at the endpoint.
void Upstreams::abandon_unsent(AttemptId id) {
  auto entry = attempts_.find(id);
  if (entry == attempts_.end() || entry->second.is_sent()) return;
  release_connection(entry);
  complete(entry, Outcome::superseded);
}

// Removes an attempt that waits for a connection from its endpoint's queue. Otherwise closes the attempt's
// connection: HTTP/1.1 has no other way to cancel a request.
void Upstreams::release_connection(AttemptEntry entry) {
  const auto& attempt = entry->second;
  if (attempt.awaits_connection())
    std::erase(waiting_attempts(attempt.endpoint()), entry->first);
  else
    connections_.close(connections_.at(attempt.connection()));
}

// Ends an attempt with a `completed` event. Only cancel() ends an attempt without an event.
void Upstreams::complete(AttemptEntry entry, Outcome outcome, SharedMessage response) {
  if (entry == attempts_.end()) return;
  set_due(entry, DueTimes::none);
  const auto& attempt = entry->second;
  events_.push_back({.attempt = entry->first,
                     .endpoint = attempt.endpoint(),
                     .outcome = outcome,
                     .response = attempt.streams_response() ? nullptr : std::move(response),
                     .started_at_ms = attempt.started_at_ms()});
  attempts_.erase(entry);
}

void Upstreams::deadline_reached(transport::DueKey key) {
  auto number = transport::number_of(key);
  if (transport::kind_of(key) == connection_due_kind) return connection_due(number);
  attempt_due(number);
}

void Upstreams::attempt_due(AttemptId id) {
  auto entry = attempts_.find(id);
  // Reads first: a turn handles a limited number of events, so the event of a received response may be
  // pending.
  if (!entry->second.awaits_connection()) {
    read_response(connections_.at(entry->second.connection()), entry);
    entry = attempts_.find(id);
    if (entry == attempts_.end() || entry->second.due_ms() > now_ms_) return;
  }
  const auto& attempt = entry->second;
  bool never_sent = attempt.is_never_sent(now_ms_);
  release_connection(entry);
  if (never_sent) return complete(entry, Outcome::unreachable);
  connections_.close_idle_if_silent(attempt.endpoint(), attempt.started_at_ms());
  complete(entry, Outcome::timeout);
}

// --- Connections -----------------------------------------------------------------------------------------

void Upstreams::connection_ready(UpstreamConnection& connection, std::uint32_t events) {
  switch (connection.state()) {
    case State::dialling:
      if (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) dial_finished(connection);
      return;
    case State::idle:
      if (connection.stream().quiet()) return;
      connections_.close_ended_idle(connection);
      return dial_for_waiting(connection.endpoint());
    case State::settling:
      if (connection.stream().quiet()) return;
      connections_.close(connection);
      return dial_for_waiting(connection.endpoint());
    case State::in_flight: {
      auto entry = attempts_.find(connection.attempt());
      if (!entry->second.is_sent()) sendable_.push_back(connection.id());
      return read_response(connection, entry);
    }
    case State::closed:
      return;
  }
}

void Upstreams::dial_finished(UpstreamConnection& connection) {
  if (connection.stream().dial_error() == 0) return sendable_.push_back(connection.id());
  EndpointIndex endpoint = connection.endpoint();
  connections_.close(connection);
  if (waiting_attempts(endpoint).empty()) return;
  fail_next_waiting(endpoint);
  dial_for_waiting(endpoint);
}

// Requests are written only in this phase of a turn. A request written as soon as its connection is
// established could reach an endpoint that the same turn's endpoint list moves to another group, or be sent
// after its send deadline.
void Upstreams::send_requests() {
  for (auto id : std::exchange(sendable_, {}))
    if (auto* connection = connections_.find(id)) process_sendable(*connection);
}

void Upstreams::process_sendable(UpstreamConnection& connection) {
  EndpointIndex endpoint = connection.endpoint();
  switch (connection.state()) {
    case State::dialling:
      connections_.dial_succeeded(connection);
      connection_available(connection);
      return dial_for_waiting(endpoint);  // max_dials_per_endpoint may have held back dials
    case State::idle:
      return connection_available(connection);
    case State::in_flight: {
      auto entry = attempts_.find(connection.attempt());
      if (!send_pending(connection, entry)) connection_broken(connection, entry);
      return;
    }
    case State::settling:
    case State::closed:
      return;
  }
}

// Ends the settling of a connection, or a dial that has timed out.
void Upstreams::connection_due(ConnectionId id) {
  auto& connection = connections_.at(id);
  EndpointIndex endpoint = connection.endpoint();
  if (connection.state() == State::settling) {
    connections_.finish_settling(connection);
    return sendable_.push_back(id);
  }
  connections_.close(connection);
  connections_.close_idle_if_silent(endpoint, now_ms_ - dial_timeout_ms_);
  dial_for_waiting(endpoint);
}

// Assigns a dialled or settled connection to the first attempt in the queue, or keeps it for the next
// attempt.
void Upstreams::connection_available(UpstreamConnection& connection) {
  EndpointIndex endpoint = connection.endpoint();
  if (!connections_.is_usable(connection)) {
    connections_.close(connection);
    return dial_for_waiting(endpoint);
  }
  while (!waiting_attempts(endpoint).empty()) {
    auto entry = attempts_.find(waiting_attempts(endpoint).front());
    // An attempt that times out in this turn must not be sent.
    if (entry->second.timeout_at_ms() <= now_ms_ || !may_send(entry->second)) {
      fail_next_waiting(endpoint);
      continue;
    }
    waiting_attempts(endpoint).pop_front();
    return send_request(connection, entry);
  }
  if (!endpoints_.accepts_attempts(endpoint)) return connections_.close(connection);
  connections_.keep_idle(connection);
}

// Reads the clock again for attempts with a send deadline: the turn may have taken long, and the request must
// not be written after the window of its idempotency key.
bool Upstreams::may_send(const UpstreamAttempt& attempt) const {
  if (!attempt.has_send_deadline() || !read_clock_ms_) return attempt.may_be_sent(now_ms_);
  return attempt.may_be_sent(read_clock_ms_());
}

void Upstreams::dial_for_waiting(EndpointIndex endpoint) {
  while (true) {
    int dialling = connections_.dialling(endpoint);
    if (dialling >= max_dials_per_endpoint || dialling >= static_cast<int>(waiting_attempts(endpoint).size()))
      return;
    if (!connections_.dial(endpoint)) fail_next_waiting(endpoint);
  }
}

void Upstreams::fail_next_waiting(EndpointIndex endpoint) {
  auto id = waiting_attempts(endpoint).front();
  waiting_attempts(endpoint).pop_front();
  complete(attempts_.find(id), Outcome::unreachable);
}

// --- Invariants ------------------------------------------------------------------------------------------

std::optional<BrokenUpstreamInvariant> Upstreams::broken_invariant() const {
  if (auto broken = endpoints_.broken_invariant())
    return BrokenUpstreamInvariant{.invariant = UpstreamInvariant::endpoint_slots_consistent,
                                   .detail = std::string(text_of(*broken))};
  if (auto broken = connections_.broken_invariant()) return broken;
  std::size_t awaiting = 0;
  for (const auto& [id, attempt] : attempts_) {
    bool paused = attempt.phase() == UpstreamAttempt::Phase::response_paused;
    if ((attempt.due_ms() == DueTimes::none) != paused)
      return BrokenUpstreamInvariant{.invariant = UpstreamInvariant::attempt_due_unless_paused};
    if (attempt.awaits_connection()) {
      ++awaiting;
      continue;
    }
    const auto* connection = connections_.find(attempt.connection());
    if (!connection || connection->state() != State::in_flight || connection->attempt() != id ||
        connection->endpoint() != attempt.endpoint())
      return BrokenUpstreamInvariant{.invariant = UpstreamInvariant::attempt_owns_its_connection};
  }
  std::size_t queued = 0;
  for (std::size_t i = 0; i < waiting_attempts_.size(); ++i)
    for (auto id : waiting_attempts_[i]) {
      ++queued;
      auto entry = attempts_.find(id);
      if (entry == attempts_.end() || !entry->second.awaits_connection() ||
          entry->second.endpoint() != static_cast<EndpointIndex>(i))
        return BrokenUpstreamInvariant{.invariant = UpstreamInvariant::queued_attempt_awaits_connection};
    }
  if (queued != awaiting)
    return BrokenUpstreamInvariant{.invariant = UpstreamInvariant::awaiting_attempt_queued};
  std::size_t in_flight = 0;
  connections_.for_each([&](const UpstreamConnection& connection) {
    in_flight += connection.state() == State::in_flight ? 1 : 0;
  });
  if (in_flight + awaiting != attempts_.size())
    return BrokenUpstreamInvariant{.invariant = UpstreamInvariant::connection_in_flight_has_attempt};
  return {};
}

}  // namespace meadowgauge::proxy
