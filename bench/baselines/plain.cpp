#include "plain.hpp"

#include <algorithm>
#include <cstdlib>

namespace meadowgauge {

using baselines::flaws;
using baselines::max_retries;
using baselines::State;

// The state and the decisions shared by the baselines.
class Policy::Core {
 public:
  struct RequestClass {
    bool idempotent = false;
  };
  State state;
  std::vector<RequestClass> request_classes;
  std::vector<EndpointIndex> ready;
  double tick_ms = 5;

  [[nodiscard]] bool idempotent(const Request& request) const {
    return request.request_class >= 0 && request.request_class < static_cast<int>(request_classes.size()) &&
           request_classes[static_cast<std::size_t>(request.request_class)].idempotent;
  }
  [[nodiscard]] static bool may_have_executed(const Attempt& attempt) {
    return attempt.in_flight ||
           (attempt.outcome != Outcome::rejected && attempt.outcome != Outcome::unreachable);
  }
  [[nodiscard]] bool may_have_executed(const Request& request) const {
    return std::any_of(request.attempts.begin(), request.attempts.begin() + request.attempt_count,
                       [](const Attempt& attempt) { return may_have_executed(attempt); });
  }

  // Starts an attempt at a server that the request has not tried, or at any usable server if all were tried.
  // Fails or rejects the request without a usable server, after the last attempt and after the deadline.
  Decision send(Request& request, double now_ms) {
    ready.clear();
    for (int pass = 0; pass < 2 && ready.empty(); ++pass)
      for (std::size_t n = 0; n < state.servers.size(); ++n) {
        const auto i = static_cast<EndpointIndex>(n);
        const auto& s = state.servers[n];
        bool usable =
            s.state == EndpointState::ready || (flaws.ignores_drains && s.state == EndpointState::draining);
        bool already_tried =
            std::any_of(request.attempts.begin(), request.attempts.begin() + request.attempt_count,
                        [&](const Attempt& attempt) { return attempt.endpoint == i; });
        if (usable && (pass == 1 || !already_tried)) ready.push_back(i);
      }
    if (ready.empty() || request.attempt_count >= max_attempts || now_ms >= request.deadline_ms)
      return finish(request);
    EndpointIndex endpoint = baselines::choose(ready, state);
    ++state.servers[position_of(endpoint)].in_flight;
    request.attempts[static_cast<std::size_t>(request.attempt_count++)] = {.endpoint = endpoint,
                                                                           .sent_at_ms = now_ms,
                                                                           .outcome = Outcome::superseded,
                                                                           .in_flight_at_send = 1,
                                                                           .in_flight = true};
    ++request.in_flight;
    return {.kind = Decision::attempt, .endpoint = endpoint};
  }

  // The final response: a failure if a non-idempotent request may have executed, otherwise a rejection.
  Decision finish(Request& request) const {
    if (flaws.loses_requests) return {};
    request.answered = true;
    return {.kind = !idempotent(request) && may_have_executed(request) ? Decision::fail : Decision::reject};
  }

  // Records the result of an attempt, then retries the request or ends it.
  Decision handle_attempt_end(Request& request, const AttemptResult& result, double now_ms) {
    if (result.attempt < 0 || result.attempt >= request.attempt_count ||
        !request.attempts[static_cast<std::size_t>(result.attempt)].in_flight)
      return {};
    auto& attempt = request.attempts[static_cast<std::size_t>(result.attempt)];
    attempt.in_flight = false;
    attempt.outcome = result.outcome;
    --request.in_flight;
    auto& s = state.servers[position_of(attempt.endpoint)];
    s.in_flight = std::max(0, s.in_flight - 1);
    if (request.answered) return {};
    if (result.request_closed) {
      request.answered = true;
      return {};
    }
    if (request.in_flight > 0) return {};
    bool may_retry = idempotent(request) || !may_have_executed(request) || flaws.retries_non_idempotent;
    if (may_retry && request.attempt_count <= max_retries && result.outcome != Outcome::cancelled)
      return send(request, now_ms);
    return finish(request);
  }
};

Policy::Policy(const Settings& settings, std::uint64_t seed, double) : core_(std::make_unique<Core>()) {
  core_->state.rng.seed(static_cast<std::mt19937::result_type>(seed));
  auto setting = [&](const std::string& name) {
    auto it = settings.find(name);
    return it == settings.end() ? std::string{} : it->second;
  };
  for (int i = 0; i < std::atoi(setting("path_prefixes.count").c_str()); ++i)
    core_->request_classes.push_back(
        {setting("path_prefixes." + std::to_string(i) + ".repeat") == "idempotent"});
}
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;
Policy::~Policy() = default;

Decision Policy::decide(Request& request, double now_ms) {
  if (request.answered || request.attempt_count > 0) return {};
  return core_->send(request, now_ms);
}
Decision Policy::attempt_ended(Request& request, const AttemptResult& result, double now_ms) {
  return core_->handle_attempt_end(request, result, now_ms);
}
AttemptTimeout Policy::attempt_timeout(const Request& request, double now_ms) {
  // A broken balancer that retries non-idempotent requests needs a short timeout, so that the retry happens
  // before the deadline.
  double remaining_ms = std::max(5.0, request.deadline_ms - now_ms - 10);
  return {.limit_ms = flaws.retries_non_idempotent ? std::min(remaining_ms, 60.0) : remaining_ms};
}
// Baselines do not retry within a deduplication scope, so earlier attempts do not restrict the choice of the
// next endpoint.
bool Policy::may_still_be_sent(const Request&, int) const { return true; }
double Policy::send_by_ms(const Request&, int, double) const { return never; }
RepeatJudgement Policy::repeat_judgement(const Request&, double) const { return {}; }
Decision Policy::client_left(Request& request, double) {
  request.answered = true;
  Decision decision;
  for (int i = 0; i < request.attempt_count; ++i)
    if (request.attempts[static_cast<std::size_t>(i)].in_flight) decision.cancel |= 1U << i;
  return decision;
}
Decision Policy::response_started(Request& request, int, double) {
  request.streaming = true;
  return {};
}
void Policy::update_endpoints(EndpointListUpdate kind, std::span<const EndpointEntry> entries, double) {
  if (kind == EndpointListUpdate::failed) return;
  auto& servers = core_->state.servers;
  if (kind != EndpointListUpdate::delta)
    for (auto& s : servers) s.state = EndpointState::gone;
  for (const auto& e : entries) {
    if (e.endpoint == no_endpoint) continue;
    if (position_of(e.endpoint) >= servers.size()) servers.resize(position_of(e.endpoint) + 1);
    auto& s = servers[position_of(e.endpoint)];
    s.state = e.state;
    s.zone = e.zone;
    s.up_since_ms = e.up_since_ms;
  }
}
void Policy::probe_ended(EndpointIndex, Outcome, double, const LoadReport&, double) {}
PeriodicActions Policy::tick(double) { return {}; }
double Policy::tick_interval_ms() const { return core_->tick_ms; }
void Policy::set_manual_drain(EndpointIndex, bool, double) {}
int Policy::unavailable_endpoints(double, std::vector<EndpointIndex>*) const { return 0; }
void Policy::gossip_received(const GossipContent&, double) {}
void Policy::request_trials(std::span<const std::uint32_t>) {}
void Policy::body_complete(Request& request, double deadline_ms, double) {
  request.deadline_ms = deadline_ms;
  request.body_incoming = false;
}
LearnedState Policy::learned_state(double) const { return {}; }
void Policy::restore(const LearnedState&, double) {}
double Policy::drop_probability(double) const { return 0; }

}  // namespace meadowgauge
