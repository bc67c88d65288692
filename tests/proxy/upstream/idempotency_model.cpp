// The loop, the attempts and the connections of the model. They must match Balancer and Upstreams.
#include "proxy/upstream/idempotency_model.hpp"

#include <algorithm>
#include <stdexcept>

namespace meadowgauge::test {

using proxy::AttemptId;
using proxy::ConnectionId;
using proxy::RequestNumber;
using transport::DueTimes;

namespace {

constexpr std::size_t max_dials_per_server = 2;  // low, so that attempts wait for dials of other attempts
constexpr double settle_ms = 20;                 // between a response and the connection's next request

// Dials.
constexpr double refused_share = 0.04;      // of the dials
constexpr double slow_dial_share = 0.5;     // of the dials
constexpr double silent_dial_share = 0.04;  // of the dials; these dials never end
constexpr double quick_dial_ms = 3;         // maximum, unless slow
constexpr double max_dial_ratio = 1.5;      // maximum duration of a slow dial, as a share of the dial timeout

// Requests that are written in parts.
constexpr double broken_part_share = 0.05;  // of the parts; the connection breaks after the part
constexpr double long_gap_share = 0.25;     // of the gaps between two parts
constexpr double short_gap_ms = 20;         // maximum, unless long

constexpr double max_wake_ms = 0.5;       // maximum time from an event to the reading of the clock
constexpr double keep_alive_share = 0.4;  // of the responses

}  // namespace

// --- A turn of the loop ----------------------------------------------------------------------------------

void IdempotencyModel::run() {
  list_all();
  while (!calls_.empty() || next_request_at_ms_ != never || !repetitions_.empty() || !ends_.empty())
    take_turn();
}

void IdempotencyModel::take_turn() {
  double next_ms = next_event_ms();
  if (next_ms == never) throw std::logic_error("a request is open, but no further event is due");
  real_ms_ = std::max(real_ms_, next_ms) + random_.between(0, max_wake_ms);
  clock_ms_ = real_ms_;
  pause_ms_ = 0;
  servers_change();
  maybe_pause();
  socket_events();
  lists();
  outcomes();
  maybe_pause();
  due_times();
  write_to_ready_connections();
  new_requests();
  maybe_pause();
  commands();
  tick();
}

// Simulates that the process is not scheduled between the reading of its clock and a write.
void IdempotencyModel::maybe_pause() {
  if (pause_ms_ > 0 || !random_.bernoulli(settings_.pause_share)) return;
  pause_ms_ = random_.between(0, settings_.max_pause_ms);
  real_ms_ += pause_ms_;
}

bool IdempotencyModel::may_be_written(const ActiveAttempt& attempt) const {
  return attempt.value.timeout_at_ms() > clock_ms_ && attempt.value.may_be_sent(real_ms_);
}

double IdempotencyModel::next_event_ms() const {
  if (!ends_.empty() || !commands_.empty()) return real_ms_;
  double next_ms = std::min(due_.next(), next_request_at_ms_);
  for (const auto& [id, connection] : connections_) next_ms = std::min(next_ms, connection.event_at_ms);
  for (const auto& [number, call] : calls_) next_ms = std::min(next_ms, call.client_leaves_at_ms);
  for (const auto& [at_ms, request_class] : repetitions_) next_ms = std::min(next_ms, at_ms);
  if (next_change_at_ms_ > clock_ms_) next_ms = std::min(next_ms, next_change_at_ms_);
  return next_ms;
}

void IdempotencyModel::socket_events() {
  std::vector<ConnectionId> due;
  for (const auto& [id, connection] : connections_)
    if (connection.event_at_ms <= clock_ms_) due.push_back(id);
  for (auto id : due)
    if (connections_.contains(id)) socket_ready(id);
}

void IdempotencyModel::outcomes() {
  for (const auto& end : std::exchange(ends_, {})) {
    auto number = request_of(end.attempt);
    bool open = table_.is_open(number);
    bool succeeded = end.outcome == Outcome::succeeded;
    note(number, "attempt " + std::to_string(proxy::attempt_number_of(end.attempt)) + " ended, outcome " +
                     std::to_string(static_cast<int>(end.outcome)));
    if (open && succeeded) {
      checker_.answered(to_integer(number));
      abandon_unsent_attempts(number);
    }
    table_.attempt_ended(number,
                         {.attempt = proxy::attempt_number_of(end.attempt),
                          .outcome = end.outcome,
                          .request_closed = !open || succeeded,
                          .load_report = {}},
                         clock_ms_);
  }
}

void IdempotencyModel::due_times() {
  while (auto key = due_.first(clock_ms_)) {
    auto number = transport::number_of(*key);
    if (transport::kind_of(*key) == proxy::RequestTable::due_kind)
      table_.decision_due(RequestNumber{number}, clock_ms_);
    else if (transport::kind_of(*key) == attempt_due_kind)
      attempt_due(number);
    else
      connection_due(number);
  }
}

void IdempotencyModel::write_to_ready_connections() {
  for (auto id : std::exchange(ready_connections_, {})) {
    if (connections_.contains(id)) write_to(id);
  }
}

void IdempotencyModel::commands() {
  for (const auto& command : std::exchange(commands_, {})) {
    auto id = attempt_id(command.request, command.attempt);
    if (command.endpoint == no_endpoint)
      cancel(id);
    else if (table_.is_open(command.request))
      start(id, position_of(command.endpoint), command.timeout);
    else
      ends_.push_back({.attempt = id, .outcome = Outcome::superseded});
  }
}

void IdempotencyModel::tick() {
  if (clock_ms_ < next_tick_at_ms_) return;
  static_cast<void>(policy_.tick(clock_ms_));
  next_tick_at_ms_ = clock_ms_ + policy_.tick_interval_ms();
}

// --- Attempts --------------------------------------------------------------------------------------------

void IdempotencyModel::start(AttemptId id, std::size_t server, const AttemptTimeout& timeout) {
  double send_by_ms = timeout.send_by_ms;
  if (settings_.fault == ModelFault::no_send_deadline) send_by_ms = never;
  proxy::UpstreamAttempt value(static_cast<EndpointIndex>(server), proxy::UpstreamRequest::health_check("/"),
                               {.started_at_ms = clock_ms_,
                                .limit_at_ms = clock_ms_ + timeout.limit_ms,
                                .connect_by_ms = clock_ms_ + dial_timeout_ms_,
                                .send_by_ms = clock_ms_ + send_by_ms});
  int parts = random_.bernoulli(settings_.parts_share) ? 2 + random_.below(3) : 1;
  auto& attempt = attempts_
                      .emplace(id, ActiveAttempt{.value = std::move(value),
                                                 .parts_left = parts,
                                                 .send_by_ms = clock_ms_ + send_by_ms})
                      .first->second;
  auto idle = std::ranges::find_if(connections_, [server](const auto& entry) {
    return entry.second.server == server && entry.second.state == Connection::State::idle;
  });
  if (idle != connections_.end()) return begin_request(idle->first, id);
  set_due(id, attempt, attempt.value.timeout_at_ms());
  waiting_[server].push_back(id);
  dial_for_waiting(server);
}

void IdempotencyModel::set_due(AttemptId id, ActiveAttempt& attempt, double at_ms) {
  due_.set(transport::due_key(attempt_due_kind, id), attempt.value.due_ms(), at_ms);
}

void IdempotencyModel::cancel(AttemptId id) {
  auto it = attempts_.find(id);
  if (it == attempts_.end()) return;
  release_connection(id);
  complete(id, Outcome::cancelled);
}

bool IdempotencyModel::abandon_unsent(AttemptId id) {
  auto it = attempts_.find(id);
  if (it == attempts_.end() || it->second.value.is_sent()) return false;
  release_connection(id);
  complete(id, Outcome::superseded);
  return true;
}

void IdempotencyModel::abandon_unsent_attempts(RequestNumber number) {
  for (int attempt = 0; attempt < max_attempts; ++attempt) abandon_unsent(attempt_id(number, attempt));
}

void IdempotencyModel::attempt_due(AttemptId id) {
  if (const auto& value = attempts_.at(id).value; !value.awaits_connection()) {
    auto& connection = connections_.at(value.connection());
    bool has_ended = connection.event_at_ms <= real_ms_ && connection.event != Connection::Event::writable;
    if (has_ended) return connection_ended(value.connection());
  }
  bool never_sent = attempts_.at(id).value.is_never_sent(clock_ms_);
  if (never_sent && attempts_.at(id).send_by_ms <= clock_ms_) ++unsent_at_send_deadline;
  release_connection(id);
  complete(id, never_sent ? Outcome::unreachable : Outcome::timeout);
}

void IdempotencyModel::release_connection(AttemptId id) {
  const auto& value = attempts_.at(id).value;
  if (value.awaits_connection())
    std::erase(waiting_[position_of(value.endpoint())], id);
  else
    close(value.connection());
}

void IdempotencyModel::complete(AttemptId id, Outcome outcome) {
  auto it = attempts_.find(id);
  set_due(id, it->second, DueTimes::none);
  attempts_.erase(it);
  ends_.push_back({.attempt = id, .outcome = outcome});
}

// --- Connections -----------------------------------------------------------------------------------------

void IdempotencyModel::dial_for_waiting(std::size_t server) {
  auto dialling = static_cast<std::size_t>(std::ranges::count_if(connections_, [server](const auto& entry) {
    return entry.second.server == server && entry.second.state == Connection::State::dialling;
  }));
  for (; dialling < std::min(max_dials_per_server, waiting_[server].size()); ++dialling) dial(server);
}

void IdempotencyModel::fail_next_waiting(std::size_t server) {
  auto id = waiting_[server].front();
  waiting_[server].pop_front();
  complete(id, Outcome::unreachable);
}

void IdempotencyModel::set_connection_due(ConnectionId id, double at_ms) {
  due_.set(transport::due_key(connection_due_kind, id), connections_.at(id).due_ms, at_ms);
}

void IdempotencyModel::dial(std::size_t server) {
  auto id = next_connection_++;
  auto& connection = connections_[id];
  connection.server = server;
  connection.listed_process = servers_[server].listed_process;
  connection.event =
      random_.bernoulli(refused_share) ? Connection::Event::broken : Connection::Event::dial_succeeded;
  connection.event_at_ms = real_ms_ + random_.between(0, quick_dial_ms);
  if (random_.bernoulli(slow_dial_share))
    connection.event_at_ms = real_ms_ + random_.between(0, max_dial_ratio * dial_timeout_ms_);
  if (random_.bernoulli(silent_dial_share)) connection.event_at_ms = never;
  set_connection_due(id, clock_ms_ + dial_timeout_ms_);
}

void IdempotencyModel::socket_ready(ConnectionId id) {
  auto& connection = connections_.at(id);
  bool may_write = connection.event == Connection::Event::dial_succeeded ||
                   connection.event == Connection::Event::writable;
  if (!may_write) return connection_ended(id);
  connection.event_at_ms = never;
  if (connection.event == Connection::Event::dial_succeeded) dial_succeeded(id);
  if (settings_.write_order == WriteOrder::after_due_times)
    ready_connections_.push_back(id);
  else
    write_to(id);
}

void IdempotencyModel::dial_succeeded(ConnectionId id) {
  auto& connection = connections_.at(id);
  connection.reached = servers_[connection.server].reached;
  connection.process = servers_[connection.reached].process;
  connection.state = Connection::State::settling;
  set_connection_due(id, DueTimes::none);
  auto is_pending = [&](const Server& server) { return server.has_unlisted_change; };
  if (is_pending(servers_[connection.server])) ++lists_in_connection_turns;
}

// Writes to a writable connection: the rest of a request, or the request of a waiting attempt.
void IdempotencyModel::write_to(ConnectionId id) {
  const auto& connection = connections_.at(id);
  if (connection.state != Connection::State::in_flight) return connection_available(id);
  // With WriteOrder::on_socket_event the rest of a partly written request is written without a check.
  bool needs_check = settings_.write_order == WriteOrder::after_due_times;
  if (!needs_check || may_be_written(attempts_.at(connection.attempt))) write(id);
}

// Ends a dial that has timed out, or the settling of a connection.
void IdempotencyModel::connection_due(ConnectionId id) {
  auto& connection = connections_.at(id);
  if (connection.state == Connection::State::settling) {
    set_connection_due(id, DueTimes::none);
    return connection_available(id);
  }
  auto server = connection.server;
  close(id);
  dial_for_waiting(server);
}

// Assigns the connection to the first waiting attempt that may still be written, or keeps the connection
// idle.
void IdempotencyModel::connection_available(ConnectionId id) {
  auto& connection = connections_.at(id);
  auto server = connection.server;
  if (connection.listed_process != servers_[server].listed_process) {
    close(id);
    return dial_for_waiting(server);
  }
  while (!waiting_[server].empty()) {
    auto attempt = waiting_[server].front();
    if (!may_be_written(attempts_.at(attempt))) {
      if (attempts_.at(attempt).send_by_ms <= clock_ms_) ++unsent_at_send_deadline;
      fail_next_waiting(server);
      continue;
    }
    waiting_[server].pop_front();
    begin_request(id, attempt);
    return dial_for_waiting(server);
  }
  if (!servers_[server].accepts_attempts()) return close(id);
  connection.state = Connection::State::idle;
}

void IdempotencyModel::begin_request(ConnectionId id, AttemptId attempt) {
  auto& connection = connections_.at(id);
  connection.state = Connection::State::in_flight;
  connection.attempt = attempt;
  auto& active = attempts_.at(attempt);
  active.value.connected(id);
  set_due(attempt, active, active.value.timeout_at_ms());
  write(id);
}

// Writes one part of the request.
void IdempotencyModel::write(ConnectionId id) {
  auto& connection = connections_.at(id);
  auto& attempt = attempts_.at(connection.attempt);
  if (--attempt.parts_left == 0) {
    attempt.value.request_sent();
    set_due(connection.attempt, attempt, attempt.value.timeout_at_ms());
    return last_byte_written(connection);
  }
  bool is_broken = random_.bernoulli(broken_part_share);
  connection.event = is_broken ? Connection::Event::broken : Connection::Event::writable;
  double gap_ms =
      random_.bernoulli(long_gap_share) ? random_.between(0, window_ms_) : random_.between(0, short_gap_ms);
  connection.event_at_ms = real_ms_ + gap_ms;
}

// Handles a response or a broken connection.
void IdempotencyModel::connection_ended(ConnectionId id) {
  auto& connection = connections_.at(id);
  auto server = connection.server;
  bool is_response = connection.event == Connection::Event::response;
  if (connection.state == Connection::State::in_flight) {
    bool is_sent = attempts_.at(connection.attempt).value.is_sent();
    auto broken = is_sent ? Outcome::reset : Outcome::unreachable;
    complete(connection.attempt, is_response ? connection.outcome : broken);
  }
  if (is_response && random_.bernoulli(keep_alive_share)) {
    connection.state = Connection::State::settling;
    connection.event = Connection::Event::none;
    connection.event_at_ms = never;
    return set_connection_due(id, clock_ms_ + settle_ms);
  }
  bool was_dialling = connection.state == Connection::State::dialling;
  close(id);
  if (was_dialling && !waiting_[server].empty()) fail_next_waiting(server);
  dial_for_waiting(server);
}

void IdempotencyModel::close(ConnectionId id) {
  set_connection_due(id, DueTimes::none);
  connections_.erase(id);
}

void IdempotencyModel::close_idle(std::size_t server) {
  std::vector<ConnectionId> idle;
  for (const auto& [id, connection] : connections_)
    if (connection.server == server && connection.state == Connection::State::idle) idle.push_back(id);
  for (auto id : idle) close(id);
}

void IdempotencyModel::stop_attempts(std::size_t server) {
  close_idle(server);
  for (auto id : std::exchange(waiting_[server], {})) complete(id, Outcome::unreachable);
}

}  // namespace meadowgauge::test
