#include "proxy/request/table.hpp"

#include <algorithm>

namespace meadowgauge::proxy {

using transport::DueTimes;

RequestState RequestTable::next_state(const Entry& entry, const Decision& decision) {
  if (entry.request.answered) return RequestState::done;
  switch (decision.kind) {
    case Decision::wait:
      return std::max(entry.state, RequestState::admitted);
    case Decision::attempt:
      return std::max(entry.state, RequestState::in_flight);
    default:
      return entry.state;
  }
}

void RequestTable::carry_out(Entries::iterator it, const Decision& decision, double now_ms) {
  const RequestNumber number = it->first;
  auto& entry = it->second;
  entry.state = next_state(entry, decision);
  for (int attempt = 0; attempt < max_attempts; ++attempt)
    if (decision.cancel >> attempt & 1) actions_.cancel_attempt(number, attempt);
  for (int i = 0; i < decision.probe_count; ++i) actions_.probe(decision.probes[static_cast<std::size_t>(i)]);
  switch (decision.kind) {
    case Decision::attempt: {
      auto timeout = schedule_decision(number, entry, now_ms);
      actions_.start_attempt(number, entry.request.attempt_count - 1, decision.endpoint, timeout);
      limit_earlier_attempts(number, entry.request, now_ms);
      break;
    }
    case Decision::wait:
      schedule_decision(number, entry, now_ms);
      break;
    case Decision::reject:
      actions_.reject(number, decision.retry_after_ms, decision.reason);
      break;
    case Decision::fail:
      actions_.fail(number, decision.reason);
      break;
    case Decision::none:
      break;
  }
  if (entry.state != RequestState::done) return;
  set_due(number, entry, DueTimes::none);
  if (entry.request.in_flight > 0) return;
  requests_.erase(it);
  actions_.released(number);
}

void RequestTable::limit_earlier_attempts(RequestNumber number, const Request& request, double now_ms) {
  for (int attempt = 0; attempt < request.attempt_count - 1; ++attempt) {
    if (!request.attempts[static_cast<std::size_t>(attempt)].in_flight) continue;
    double send_by_ms = policy_.send_by_ms(request, attempt, now_ms);
    if (send_by_ms != never) actions_.limit_sending(number, attempt, send_by_ms);
  }
}

void RequestTable::set_due(RequestNumber number, Entry& entry, double at_ms) {
  due_.set(transport::due_key(due_kind, to_integer(number)), entry.due_ms, at_ms);
}

AttemptTimeout RequestTable::schedule_decision(RequestNumber number, Entry& entry, double now_ms) {
  auto timeout = policy_.attempt_timeout(entry.request, now_ms);
  set_due(number, entry, now_ms + timeout.ask_again_ms);
  return timeout;
}

void RequestTable::request_arrived(RequestNumber number, const Request& request, double now_ms) {
  auto [it, inserted] = requests_.try_emplace(number, Entry{.request = request});
  if (inserted) carry_out(it, policy_.decide(it->second.request, now_ms), now_ms);
}

void RequestTable::attempt_ended(RequestNumber number, const AttemptResult& result, double now_ms) {
  auto it = requests_.find(number);
  if (it == requests_.end()) return;
  carry_out(it, policy_.attempt_ended(it->second.request, result, now_ms), now_ms);
}

void RequestTable::response_started(RequestNumber number, int attempt, double now_ms) {
  auto it = requests_.find(number);
  if (it == requests_.end()) return;
  auto decision = policy_.response_started(it->second.request, attempt, now_ms);
  it->second.state = std::max(it->second.state, RequestState::responding);
  carry_out(it, decision, now_ms);
}

void RequestTable::endpoints_updated() {
  for (const auto& [number, entry] : requests_)
    for (int attempt = 0; attempt < entry.request.attempt_count; ++attempt)
      if (entry.request.attempts[static_cast<std::size_t>(attempt)].in_flight &&
          !policy_.may_still_be_sent(entry.request, attempt))
        actions_.withdraw_attempt(number, attempt);
}

double RequestTable::body_complete(RequestNumber number, double deadline_ms, double now_ms) {
  auto it = requests_.find(number);
  if (it == requests_.end()) return 0;
  auto& entry = it->second;
  policy_.body_complete(entry.request, deadline_ms, now_ms);
  if (entry.state == RequestState::done) return policy_.attempt_timeout(entry.request, now_ms).limit_ms;
  return schedule_decision(number, entry, now_ms).limit_ms;
}

void RequestTable::deadline_passed(RequestNumber number, double now_ms) {
  if (auto it = requests_.find(number); it != requests_.end()) it->second.request.deadline_ms = now_ms;
}

void RequestTable::body_forwarded(RequestNumber number) {
  if (auto it = requests_.find(number); it != requests_.end()) it->second.request.body_forwarded = true;
}

void RequestTable::client_left(RequestNumber number, double now_ms) {
  auto it = requests_.find(number);
  if (it == requests_.end() || it->second.state == RequestState::done) return;
  carry_out(it, policy_.client_left(it->second.request, now_ms), now_ms);
}

void RequestTable::decision_due(RequestNumber number, double now_ms) {
  auto it = requests_.find(number);
  if (it == requests_.end()) return;
  set_due(number, it->second, DueTimes::none);
  carry_out(it, policy_.decide(it->second.request, now_ms), now_ms);
}

bool RequestTable::has_attempted(EndpointIndex endpoint) const {
  return std::ranges::any_of(requests_, [endpoint](const auto& entry) {
    return std::ranges::any_of(entry.second.request.sent_attempts(),
                               [endpoint](const auto& attempt) { return attempt.endpoint == endpoint; });
  });
}

bool RequestTable::is_open(RequestNumber number) const {
  auto it = requests_.find(number);
  return it != requests_.end() && it->second.state != RequestState::done;
}

bool RequestTable::is_responding(RequestNumber number) const {
  auto it = requests_.find(number);
  return it != requests_.end() && it->second.state == RequestState::responding;
}

}  // namespace meadowgauge::proxy
