// The servers, the endpoint lists, the clients and the recorded events of the model.
#include <algorithm>
#include <cmath>

#include "fixtures/rule_checker.hpp"
#include "proxy/upstream/idempotency_model.hpp"

namespace meadowgauge::test {

using proxy::AttemptId;
using proxy::RequestNumber;

namespace {

// Shares of the requests whose last byte is received, by the server's response. The others succeed promptly.
constexpr double rejected_share = 0.06;
constexpr double never_answered_share = 0.04;
constexpr double failed_share = 0.25;
constexpr double late_succeeded_share = 0.05;
constexpr double failure_reset_share = 0.5;  // of the failures; the others are errors
constexpr double failure_late_share = 0.8;   // of the failures
// Share of the requests whose connection breaks before the last byte is received.
constexpr double lost_share = 0.02;
constexpr double max_prompt_ms = 40;

// Late responses are received around the end of the window.
constexpr double min_late_ratio = 0.3;   // of the window
constexpr double max_late_ratio = 1.05;  // of the window
constexpr double near_end_share = 0.5;   // of the late responses; their delay is between the two ratios below
constexpr double min_near_end_ratio = 0.75;  // of the window
constexpr double max_near_end_ratio = 1;     // of the window

constexpr double min_network_delay_ms = 0.1;  // from the balancer to a server
constexpr double max_network_delay_ms = 3;    // from the balancer to a server
constexpr double late_receipt_share = 0.1;    // of the requests
constexpr double max_late_receipt_ratio = 1;  // of the window

// Mean intervals between requests and between changes of the list, as shares of the window.
constexpr double request_interval_ratio = 1.0 / 15;
constexpr double change_interval_ratio = 1.0 / 2;
constexpr double min_budget_ratio = 0.5;  // of the window
constexpr double max_budget_ratio = 4;    // of the window
constexpr double min_budget_ms = 100;     // added to the budget

// Share of the turns with a change, if a retry or a hedged attempt is about to be written.
constexpr double write_turn_change_share = 0.2;
// Share of the changes that affect the server of an unsent retry or hedged attempt, if there is one.
constexpr double unsent_attempt_change_share = 0.7;
constexpr double repetition_share = 0.5;    // of the rejected requests
constexpr double leaving_share = 0.08;      // of the clients
constexpr double returning_share = 0.7;     // of the clients that leave
constexpr double max_return_delay_ms = 50;  // from a client's leaving to its repetition
constexpr int min_listed = 5;
constexpr int request_class_count = 5;
constexpr double keyed_share = 0.7;  // of the requests
constexpr int first_keyed_class = 2;

constexpr double min_dial_timeout_ms = 50;
constexpr double max_dial_timeout_ms = 1000;

double log_uniform(RandomSource& random_source, double min_value, double max_value) {
  return min_value * std::pow(max_value / min_value, random_source.uniform());
}

}  // namespace

IdempotencyModel::IdempotencyModel(const ModelSettings& settings)
    : settings_(settings),
      random_(settings.seed * 7919 + 5),
      window_ms_(log_uniform(random_, settings.min_window_ms, settings.max_window_ms)),
      dial_timeout_ms_(log_uniform(random_, min_dial_timeout_ms, max_dial_timeout_ms)),
      policy_(policy_settings(), settings.seed, clock_ms_),
      checker_(window_ms_) {}

Settings IdempotencyModel::policy_settings() const {
  double configured_window_ms = window_ms_ * settings_.configured_window_ratio;
  auto settings = settings_of({.initial_share = 1,
                               .slow_start_ms = 1,
                               .dedup_window_ms = configured_window_ms,
                               .copies = settings_.hedging});
  settings["limits.retry_after"] = "true";
  settings["limits.max_retry_after_ms"] = "2000";
  return settings;
}

// --- Servers ---------------------------------------------------------------------------------------------

Place IdempotencyModel::draw_place() {
  return {.zone = random_.below(zone_count), .cell = random_.below(cell_count)};
}

void IdempotencyModel::last_byte_written(Connection& connection) {
  auto& server = servers_[connection.reached];
  auto call = to_integer(request_of(connection.attempt));
  double network_delay_ms = random_.between(min_network_delay_ms, max_network_delay_ms);
  bool is_lost = connection.process != server.process || random_.bernoulli(lost_share);
  if (is_lost) {
    connection.event = Connection::Event::broken;
    connection.event_at_ms = real_ms_ + network_delay_ms;
    return;
  }
  double received_at_ms = real_ms_ + network_delay_ms;
  server.receiving_until_ms = std::max(server.receiving_until_ms, received_at_ms);
  if (settings_.fault == ModelFault::late_last_byte && random_.bernoulli(late_receipt_share))
    received_at_ms += random_.between(0, max_late_receipt_ratio * window_ms_);
  note(RequestNumber{call}, "attempt " + std::to_string(proxy::attempt_number_of(connection.attempt)) +
                                " last byte at server " + std::to_string(connection.reached) + ", zone " +
                                std::to_string(server.place.zone) + ", cell " +
                                std::to_string(server.place.cell) + ", paused " + std::to_string(pause_ms_));
  if (draw_response(connection, received_at_ms)) return;
  checker_.record_last_byte(call, {.place = server.place, .at_ms = received_at_ms, .pause_ms = pause_ms_});
}

bool IdempotencyModel::draw_response(Connection& connection, double received_at_ms) {
  connection.event = Connection::Event::response;
  connection.outcome = Outcome::succeeded;
  connection.event_at_ms = received_at_ms + random_.between(1, max_prompt_ms);
  double late_at_ms =
      received_at_ms + window_ms_ * (random_.bernoulli(near_end_share)
                                         ? random_.between(min_near_end_ratio, max_near_end_ratio)
                                         : random_.between(min_late_ratio, max_late_ratio));
  if (random_.bernoulli(rejected_share)) {
    connection.outcome = Outcome::rejected;
    return true;
  }
  if (random_.bernoulli(never_answered_share)) {
    connection.event_at_ms = never;
  } else if (random_.bernoulli(failed_share)) {
    connection.outcome = Outcome::error;
    if (random_.bernoulli(failure_reset_share)) connection.event = Connection::Event::broken;
    if (random_.bernoulli(failure_late_share)) connection.event_at_ms = late_at_ms;
  } else if (random_.bernoulli(late_succeeded_share)) {
    connection.event_at_ms = late_at_ms;
  }
  return false;
}

// --- Changes of the list ---------------------------------------------------------------------------------

void IdempotencyModel::list_all() {
  for (std::size_t server = 0; server < servers_.size(); ++server) {
    servers_[server].place = draw_place();
    servers_[server].reached = server;
    servers_[server].is_listed = server + 1 < servers_.size();  // the last name is unused at first
  }
  policy_.update_endpoints(EndpointListUpdate::full, entries(false), clock_ms_);
}

// Servers change at the beginning of a turn, and the balancer reads the changed list in the same turn. A
// server keeps its place while bytes are under way to it.
void IdempotencyModel::servers_change() {
  auto server = static_cast<std::size_t>(random_.below(server_count));
  auto watched = server_about_to_be_written();
  if (watched < servers_.size() && settings_.lists_in_write_turns &&
      random_.bernoulli(write_turn_change_share)) {
    server = watched;
  } else {
    if (clock_ms_ < next_change_at_ms_) return;
    next_change_at_ms_ = clock_ms_ + random_.between(0, 2 * change_interval_ratio * window_ms_);
    if (calls_.empty() && next_request_at_ms_ == never) next_change_at_ms_ = never;
    if (random_.bernoulli(unsent_attempt_change_share)) server = server_of_unsent_attempt(server);
  }
  if (!settings_.lists_in_write_turns && has_ready_connection(server)) return;
  if (servers_[server].receiving_until_ms < clock_ms_) change(server);
}

// The server of an unsent retry or hedged attempt; `otherwise` if there is none.
std::size_t IdempotencyModel::server_of_unsent_attempt(std::size_t otherwise) const {
  for (const auto& [id, attempt] : attempts_)
    if (proxy::attempt_number_of(id) > 0 && !attempt.value.is_sent())
      return position_of(attempt.value.endpoint());
  return otherwise;
}

bool IdempotencyModel::has_ready_connection(std::size_t server) const {
  return std::ranges::any_of(connections_, [&](const auto& entry) {
    return entry.second.server == server && entry.second.event_at_ms <= clock_ms_;
  });
}

std::size_t IdempotencyModel::server_about_to_be_written() const {
  auto is_further = [](AttemptId id) { return proxy::attempt_number_of(id) > 0; };
  for (const auto& [id, connection] : connections_) {
    if (connection.event_at_ms > clock_ms_) continue;
    bool is_dialled = connection.event == Connection::Event::dial_succeeded;
    const auto& waiting = waiting_[connection.server];
    if (is_dialled && !waiting.empty() && is_further(waiting.front())) return connection.server;
    bool is_writable = connection.event == Connection::Event::writable;
    if (is_writable && is_further(connection.attempt)) return connection.server;
  }
  return servers_.size();
}

void IdempotencyModel::change(std::size_t index) {
  auto& server = servers_[index];
  auto listed = std::ranges::count_if(servers_, &Server::accepts_attempts);
  server.has_unlisted_change = true;
  if (!server.is_listed) return replace_process(index);
  if (server.is_draining) {
    server.is_draining = false;
    return;
  }
  double draw = random_.uniform();
  if (draw < 0.4) {
    server.place = draw_place();
  } else if (draw < 0.7) {
    replace_process(index);
  } else if (draw < 0.8) {
    take_address_of(index);
  } else if (listed > min_listed) {
    (draw < 0.9 ? server.is_listed : server.is_draining) = draw >= 0.9;
  }
}

// Starts another process under the same name and address, possibly in another zone and cell.
void IdempotencyModel::replace_process(std::size_t index) {
  auto& server = servers_[index];
  server.place = draw_place();
  server.up_since_ms = clock_ms_;
  server.is_listed = true;
  server.is_draining = false;
  server.reached = index;
  server.has_unlisted_change = true;
  ++server.process;
  for (auto& [id, connection] : connections_) {
    if (connection.reached != index || connection.state == Connection::State::dialling) continue;
    connection.event = Connection::Event::broken;
    connection.event_at_ms = clock_ms_ + random_.between(0, max_network_delay_ms);
  }
}

// Starts another process under another name at the address of this server.
void IdempotencyModel::take_address_of(std::size_t index) {
  std::size_t other_index = 0;
  while (other_index < servers_.size() && servers_[other_index].is_listed) ++other_index;
  if (other_index == servers_.size() || servers_[other_index].receiving_until_ms >= clock_ms_) return;
  replace_process(index);
  replace_process(other_index);
  servers_[index].is_listed = false;
  servers_[index].reached = other_index;
}

std::vector<EndpointEntry> IdempotencyModel::entries(bool changed_only) const {
  std::vector<EndpointEntry> listed;
  for (std::size_t index = 0; index < servers_.size(); ++index) {
    const auto& server = servers_[index];
    if (changed_only && !server.has_unlisted_change) continue;
    auto state = server.is_draining ? EndpointState::draining : EndpointState::ready;
    listed.push_back({.endpoint = static_cast<EndpointIndex>(index),
                      .zone = server.place.zone,
                      .cell = server.place.cell,
                      .state = server.is_listed ? state : EndpointState::gone,
                      .weight = 1,
                      .up_since_ms = server.up_since_ms,
                      .id = 1000U + static_cast<std::uint32_t>(index)});
  }
  return listed;
}

// Applies the changes of this turn to the connections, then to the policy, then to the open requests.
void IdempotencyModel::lists() {
  auto changed = entries(true);
  if (changed.empty()) return;
  for (std::size_t index = 0; index < servers_.size(); ++index) {
    auto& server = servers_[index];
    if (!std::exchange(server.has_unlisted_change, false)) continue;
    bool other_process = std::exchange(server.listed_process, server.process) != server.process;
    if (other_process) close_idle(index);
    if (!server.accepts_attempts()) stop_attempts(index);
  }
  policy_.update_endpoints(EndpointListUpdate::delta, changed, clock_ms_);
  table_.endpoints_updated();
}

// --- Clients ---------------------------------------------------------------------------------------------

void IdempotencyModel::new_requests() {
  clients_leave();
  std::vector<int> repeated_classes;
  std::erase_if(repetitions_, [&](const auto& repetition) {
    bool is_due = repetition.first <= clock_ms_;
    if (is_due) repeated_classes.push_back(repetition.second);
    return is_due;
  });
  for (int request_class : repeated_classes) request_arrives(request_class);
  if (clock_ms_ < next_request_at_ms_) return;
  next_request_at_ms_ = clock_ms_ + random_.between(0, 2 * request_interval_ratio * window_ms_);
  if (++arrivals_ >= settings_.requests) next_request_at_ms_ = never;
  int any_class = random_.below(request_class_count);
  int keyed_class = first_keyed_class + random_.below(request_class_count - first_keyed_class);
  request_arrives(random_.bernoulli(keyed_share) ? keyed_class : any_class);
}

void IdempotencyModel::request_arrives(int request_class) {
  RequestNumber number{next_call_++};
  double budget_ms = min_budget_ms + window_ms_ * random_.between(min_budget_ratio, max_budget_ratio);
  Request request{
      .request_class = request_class, .arrived_ms = clock_ms_, .deadline_ms = clock_ms_ + budget_ms};
  auto& call = calls_[number];
  call.request = request;
  if (random_.bernoulli(leaving_share)) call.client_leaves_at_ms = clock_ms_ + random_.between(0, budget_ms);
  checker_.request_arrived(to_integer(number), static_cast<Effect>(request_class));
  note(number, "arrived, class " + std::to_string(request_class) + ", window " + std::to_string(window_ms_));
  table_.request_arrived(number, request, clock_ms_);
}

void IdempotencyModel::clients_leave() {
  std::vector<RequestNumber> leaving;
  for (auto& [number, call] : calls_)
    if (call.client_leaves_at_ms <= clock_ms_) {
      call.client_leaves_at_ms = never;
      if (table_.is_open(number)) leaving.push_back(number);
    }
  for (auto number : leaving) {
    note(number, "client left");
    if (random_.bernoulli(returning_share))
      repetitions_.emplace_back(clock_ms_ + random_.between(0, max_return_delay_ms),
                                calls_.at(number).request.request_class);
    checker_.client_left(to_integer(number));
    table_.client_left(number, clock_ms_);
    abandon_unsent_attempts(number);
  }
}

// --- RequestActions --------------------------------------------------------------------------------------

void IdempotencyModel::start_attempt(RequestNumber number, int attempt, EndpointIndex endpoint,
                                     const AttemptTimeout& timeout) {
  if (attempt > 0 && attempts_in_flight(number) > 0) ++hedged;
  note(number, "attempt " + std::to_string(attempt) + " started at server " +
                   std::to_string(position_of(endpoint)) + ", to be sent within " +
                   std::to_string(timeout.send_by_ms));
  commands_.push_back({.request = number, .attempt = attempt, .endpoint = endpoint, .timeout = timeout});
}

void IdempotencyModel::reject(RequestNumber number, double retry_after_ms, RejectionReason) {
  if (settings_.fault == ModelFault::long_retry_after) retry_after_ms += window_ms_;
  double repeat_at_ms = real_ms_ + retry_after_ms;
  checker_.rejected(to_integer(number), repeat_at_ms, pause_ms_);
  note(number, "rejected, may be repeated after " + std::to_string(retry_after_ms));
  if (random_.bernoulli(repetition_share))
    repetitions_.emplace_back(repeat_at_ms, calls_.at(number).request.request_class);
  abandon_unsent_attempts(number);
}

void IdempotencyModel::fail(RequestNumber number, RejectionReason) {
  checker_.answered(to_integer(number));
  note(number, "failed");
  abandon_unsent_attempts(number);
}

void IdempotencyModel::cancel_attempt(RequestNumber number, int attempt) {
  commands_.push_back({.request = number, .attempt = attempt, .endpoint = no_endpoint, .timeout = {}});
}

void IdempotencyModel::limit_sending(RequestNumber number, int attempt, double send_by_ms) {
  if (settings_.fault == ModelFault::no_send_deadline) return;
  auto id = attempt_id(number, attempt);
  auto active = attempts_.find(id);
  if (active == attempts_.end() || active->second.value.is_sent()) return;
  active->second.value.limit_sending(clock_ms_ + send_by_ms);
  active->second.send_by_ms = std::min(active->second.send_by_ms, clock_ms_ + send_by_ms);
  set_due(id, active->second, active->second.value.timeout_at_ms());
}

void IdempotencyModel::withdraw_attempt(RequestNumber number, int attempt) {
  if (settings_.fault == ModelFault::no_withdrawal) return;
  if (abandon_unsent(attempt_id(number, attempt))) ++withdrawn;
}

void IdempotencyModel::released(RequestNumber number) { calls_.erase(number); }

// --- Recorded events -------------------------------------------------------------------------------------

int IdempotencyModel::attempts_in_flight(RequestNumber number) const {
  return static_cast<int>(std::ranges::count_if(
      attempts_, [number](const auto& entry) { return request_of(entry.first) == number; }));
}

void IdempotencyModel::note(RequestNumber number, const std::string& text) {
  if (!settings_.keeps_history) return;
  history_[to_integer(number)] += std::to_string(clock_ms_ - began_ms) + " ms (written at " +
                                  std::to_string(real_ms_ - began_ms) + "): " + text + "\n";
}

}  // namespace meadowgauge::test
