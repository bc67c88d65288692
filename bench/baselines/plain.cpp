#include "plain.hpp"

#include <algorithm>
#include <cstdlib>

namespace meadowgauge {

using baselines::flaws;
using baselines::most_repeats;
using baselines::State;

class Policy::Core {
 public:
  struct RequestClass {
    bool idempotent = false;
  };
  State state;
  std::vector<RequestClass> request_classes;
  std::vector<EndpointIndex> ready;
  double tick_ms = 5;

  [[nodiscard]] bool idempotent(const Request& v) const {
    return v.request_class >= 0 && v.request_class < static_cast<int>(request_classes.size()) &&
           request_classes[static_cast<std::size_t>(v.request_class)].idempotent;
  }
  [[nodiscard]] static bool ran_maybe(const Attempt& f) {
    return f.in_flight || (f.outcome != Outcome::rejected && f.outcome != Outcome::unreachable);
  }
  [[nodiscard]] bool ran_maybe(const Request& v) const {
    return std::any_of(v.attempts.begin(), v.attempts.begin() + v.attempt_count,
                       [](const Attempt& f) { return ran_maybe(f); });
  }

  Decision send(Request& v, double now_ms) {
    ready.clear();
    for (int tried = 0; tried < 2 && ready.empty(); ++tried)
      for (std::size_t n = 0; n < state.servers.size(); ++n) {
        const auto i = static_cast<EndpointIndex>(n);
        const auto& s = state.servers[n];
        bool usable =
            s.state == EndpointState::ready || (flaws.ignores_drains && s.state == EndpointState::draining);
        bool again = std::any_of(v.attempts.begin(), v.attempts.begin() + v.attempt_count,
                                 [&](const Attempt& f) { return f.endpoint == i; });
        if (usable && (tried == 1 || !again)) ready.push_back(i);
      }
    if (ready.empty() || v.attempt_count >= max_attempts || now_ms >= v.deadline_ms) return finish(v);
    EndpointIndex endpoint = baselines::choose(ready, state);
    ++state.servers[position_of(endpoint)].in_flight;
    v.attempts[static_cast<std::size_t>(v.attempt_count++)] = {.endpoint = endpoint,
                                                               .sent_at_ms = now_ms,
                                                               .outcome = Outcome::superseded,
                                                               .in_flight_at_send = 1,
                                                               .in_flight = true};
    ++v.in_flight;
    return {.kind = Decision::attempt, .endpoint = endpoint};
  }

  Decision finish(Request& v) const {
    if (flaws.forgets) return {};
    v.answered = true;
    return {.kind = !idempotent(v) && ran_maybe(v) ? Decision::fail : Decision::reject};
  }

  Decision after(Request& v, const AttemptResult& r, double now_ms) {
    if (r.attempt < 0 || r.attempt >= v.attempt_count ||
        !v.attempts[static_cast<std::size_t>(r.attempt)].in_flight)
      return {};
    auto& f = v.attempts[static_cast<std::size_t>(r.attempt)];
    f.in_flight = false;
    f.outcome = r.outcome;
    --v.in_flight;
    auto& s = state.servers[position_of(f.endpoint)];
    s.in_flight = std::max(0, s.in_flight - 1);
    if (v.answered) return {};
    if (r.request_closed) {
      v.answered = true;
      return {};
    }
    if (v.in_flight > 0) return {};
    bool harmless = idempotent(v) || !ran_maybe(v) || flaws.repeats;
    if (harmless && v.attempt_count <= most_repeats && r.outcome != Outcome::cancelled)
      return send(v, now_ms);
    return finish(v);
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
  return core_->after(request, result, now_ms);
}
AttemptTimeout Policy::attempt_timeout(const Request& request, double now_ms) {
  // One that repeats what may have run has to give the first up early for that.
  double left = std::max(5.0, request.deadline_ms - now_ms - 10);
  return {.limit_ms = flaws.repeats ? std::min(left, 60.0) : left};
}
// Nothing that may have run is repeated within a group here: none binds where another attempt may go.
bool Policy::may_still_be_sent(const Request&, int) const { return true; }
Decision Policy::client_left(Request& request, double) {
  request.answered = true;
  Decision a;
  for (int i = 0; i < request.attempt_count; ++i)
    if (request.attempts[static_cast<std::size_t>(i)].in_flight) a.cancel |= 1U << i;
  return a;
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
void Policy::body_complete(Request& request, double deadline_ms, double) {
  request.deadline_ms = deadline_ms;
  request.body_incoming = false;
}
LearnedState Policy::learned_state(double) const { return {}; }
void Policy::restore(const LearnedState&, double) {}
double Policy::drop_probability(double) const { return 0; }

}  // namespace meadowgauge
