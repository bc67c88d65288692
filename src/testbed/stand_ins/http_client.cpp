#include "testbed/stand_ins/http_client.hpp"

#include <charconv>

namespace meadowgauge::testbed {

using transport::Stream;

HttpClient::~HttpClient() = default;

std::deque<HttpClient::Connection*>& HttpClient::idle_connections_of(const Connection& connection) {
  return idle_[targets_[static_cast<std::size_t>(connection.target)].group];
}

HttpClient::Connection* HttpClient::open(int group) {
  if (connections_.size() >= options_.max_connections) return nullptr;
  int target = handler_.pick_target(group);
  if (target < 0) return nullptr;
  auto fd = Stream::dial(targets_[static_cast<std::size_t>(target)].at);
  if (!fd) return nullptr;
  auto number = next_number_++;
  auto connection = std::make_unique<Connection>(*this, number, target, std::move(fd));
  return connections_.emplace(number, std::move(connection)).first->second.get();
}

HttpClient::Connection* HttpClient::take_idle(int group) {
  auto& idle = idle_[group];
  if (idle.empty()) return nullptr;
  auto* connection = options_.rotate ? idle.front() : idle.back();
  options_.rotate ? idle.pop_front() : idle.pop_back();
  return connection;
}

void HttpClient::open_idle(int group, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i)
    if (auto* connection = open(group)) idle_connections_of(*connection).push_back(connection);
}

void HttpClient::send(std::uint64_t token, int group, const std::string& message, std::string id,
                      double deadline_ms) {
  auto* connection = take_idle(group);
  if (!connection) connection = open(group);
  if (!connection || !connection->stream.out().append(message)) {
    if (connection) close(*connection);
    schedule_cleanup();
    unsent_.push_back({token, {.outcome = Outcome::unreachable, .ended_ms = context_.now_ms}});
    return;
  }
  connection->busy = true;
  connection->token = token;
  connection->id = std::move(id);
  connection->sent_ms = context_.now_ms;
  connection->written_ms = never;
  connection->write_delay_ms = 0;
  set_timer(connection->number, connection->deadline, deadline_ms);
  if (connection->connected) flush(*connection);
}

// Ignores a broken stream: its next event reports the error, so that no request ends within send().
void HttpClient::flush(Connection& connection) {
  if (!connection.stream.flush() || !connection.stream.flushed() || connection.written_ms != never) return;
  connection.written_ms = context_.now_ms;
  connection.write_delay_ms = context_.read_clock() - connection.sent_ms;
  set_timer(connection.number, connection.deadline, connection.deadline + connection.write_delay_ms);
}

void HttpClient::handle_events(Connection& connection, std::uint32_t events) {
  if (!connection.stream.open()) return;
  if (!connection.connected) {
    if (!(events & (EPOLLOUT | EPOLLERR | EPOLLHUP))) return;
    if (connection.stream.dial_error() != 0) return finish(connection, Outcome::unreachable);
    connection.connected = true;
  }
  if (connection.busy) flush(connection);
  read_responses(connection);
}

void HttpClient::read_responses(Connection& connection) {
  for (;;) {
    if (connection.stream.bytes().empty()) {
      auto read_result = connection.stream.fill();
      if (read_result == Stream::ReadResult::nothing) return;
      if (read_result != Stream::ReadResult::bytes) return on_stream_end(connection);
    }
    if (!connection.busy) {
      if (connection.reused) handler_.on_extra_bytes(connection.token);
      return close(connection);
    }
    connection.stream.consume(connection.response.feed(connection.stream.bytes()));
    if (connection.response.fault() != protocol::Fault::none)
      return finish(connection, Outcome::connection_lost);
    if (!connection.response.complete()) continue;
    finish(connection, outcome_of(connection));
    if (!connection.stream.open()) return;
  }
}

void HttpClient::on_stream_end(Connection& connection) {
  if (!connection.busy) return close(connection);
  if (connection.written_ms == never) return finish(connection, Outcome::unreachable);
  bool is_keep_alive_race = connection.reused && !connection.response.started();
  finish(connection, is_keep_alive_race ? Outcome::keep_alive_race : Outcome::connection_lost);
}

// Classifies a complete response. The first line of a 200's body must be the request's id; any other body
// counts as corrupted.
Outcome HttpClient::outcome_of(Connection& connection) {
  int status = connection.response.status();
  if (status == 429 || status == 503) return Outcome::rejected;
  if (status != 200) return Outcome::failed;
  auto body = connection.response.extract_body();
  const auto& id = connection.id;
  bool answers_request = body.starts_with(id) && body.size() > id.size() && body[id.size()] == '\n';
  return answers_request ? Outcome::succeeded : Outcome::corrupted;
}

void HttpClient::finish(Connection& connection, Outcome outcome) {
  Result result{.outcome = outcome,
                .target = connection.target,
                .written_ms = connection.written_ms,
                .ended_ms = context_.now_ms,
                .write_delay_ms = connection.write_delay_ms,
                .turn_late_ms = context_.turns().current().late_ms,
                .turn_gap_ms = context_.turns().current().gap_ms};
  if (connection.response.started() && connection.stream.arrived_ms() > 0)
    result.arrived_ms = connection.stream.arrived_ms();
  bool complete = connection.response.complete();
  if (complete) {
    result.received_by_ms = context_.read_clock();
    result.status = connection.response.status();
    double retry_after_s = 0;
    if (auto text = connection.response.find("Retry-After"); !text.empty())
      std::from_chars(text.data(), text.data() + text.size(), retry_after_s);
    result.retry_after_ms = retry_after_s * 1000;
  }
  bool is_reusable = complete && !options_.connection_per_request && connection.response.keep_alive() &&
                     connection.stream.flushed();
  connection.response.reset();
  connection.busy = false;
  connection.reused = true;
  set_timer(connection.number, connection.deadline, transport::DueTimes::none);
  auto token = connection.token;
  if (is_reusable)
    idle_connections_of(connection).push_back(&connection);
  else
    close(connection);
  handler_.on_result(token, result);
}

void HttpClient::close(Connection& connection) {
  auto it = connections_.find(connection.number);
  if (it == connections_.end()) return;
  set_timer(connection.number, connection.deadline, transport::DueTimes::none);
  if (!connection.busy) std::erase(idle_connections_of(connection), &connection);
  connection.stream.close();
  closed_.push_back(std::move(it->second));
  schedule_cleanup();
  connections_.erase(it);
}

// Handles an expired request deadline. `number`: of the connection.
void HttpClient::on_timer(std::uint64_t number) {
  auto it = connections_.find(number);
  if (it == connections_.end()) return;
  auto& connection = *it->second;
  finish(connection, connection.written_ms == never ? Outcome::unreachable : Outcome::timed_out);
}

void HttpClient::cleanup() {
  closed_.clear();
  for (auto& unsent : std::exchange(unsent_, {})) handler_.on_result(unsent.token, unsent.result);
}

}  // namespace meadowgauge::testbed
