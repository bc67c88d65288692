// Keeps the state of the decision module: the endpoint list, manual drains, what is handed over; and passes
// calls on. It decides nothing.

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/policy_core.hpp"

namespace meadowgauge {
namespace {

constexpr double log_drops_from = 0.1, log_drops_every_ms = 5000;
constexpr std::uint32_t id_bits = 0xffffff;  // of an endpoint's id, as gossip has them

}  // namespace

Policy::Core::Core(const Settings& table, std::uint64_t seed, double now_ms)
    : settings(read_policy_settings(table, log_lines)),
      random(seed),
      classes(settings.request_classes),
      throttle(random, now_ms),
      quotas(settings, now_ms),
      outliers(endpoints, random, log_lines),
      load(settings, endpoints, outliers, random, now_ms),
      slow_start(settings, endpoints, load, random, now_ms),
      limiter(settings, endpoints, classes, load, slow_start, now_ms),
      locality(settings, endpoints, random),
      affinity(settings, endpoints, load, locality, random),
      retries(settings, endpoints, classes, throttle, outliers, load, limiter),
      picker({.settings = settings,
              .endpoints = endpoints,
              .classes = classes,
              .outliers = outliers,
              .load = load,
              .slow_start = slow_start,
              .limiter = limiter,
              .locality = locality,
              .affinity = affinity,
              .retries = retries,
              .random = random}),
      subscription(settings, random, log_lines, now_ms) {}

std::uint32_t Policy::Core::cancellable(const Request& request) const {
  std::uint32_t bits = 0;
  for (int n = 0; settings.can_cancel && n < request.attempt_count; ++n)
    if (request.attempts[static_cast<std::size_t>(n)].in_flight) bits |= 1u << n;
  return bits;
}

Attempt& Policy::Core::add_attempt(Request& request, EndpointIndex index, double now_ms) {
  const auto& endpoint = endpoints[index];
  auto& attempt = request.attempts[static_cast<std::size_t>(request.attempt_count++)];
  attempt = {.endpoint = index,
             .zone = endpoint.zone,
             .cell = endpoint.cell,
             .picked_at_ms = now_ms,
             .sent_at_ms = now_ms,
             .outcome = Outcome::superseded,
             .in_flight_at_send = endpoints.total_in_flight + 1,
             .in_flight = true};
  ++request.in_flight;
  return attempt;
}

void Policy::Core::start_work(Attempt& attempt, double now_ms) {
  auto& endpoint = endpoints[attempt.endpoint];
  attempt.counted_in_flight = true;
  ++endpoints.total_in_flight;
  if (endpoint.in_flight++ == 0) endpoint.last_sign_at_ms = now_ms;
}

void Policy::Core::end_work(Attempt& attempt, double now_ms) {
  auto& endpoint = endpoints[attempt.endpoint];
  endpoint.last_sign_at_ms = now_ms;
  if (!std::exchange(attempt.counted_in_flight, false)) return;
  --endpoints.total_in_flight;
  endpoint.in_flight = std::max(0, endpoint.in_flight - 1);
}

void Policy::Core::update_endpoints(EndpointListUpdate kind, std::span<const EndpointEntry> entries,
                                    double now_ms) {
  if (kind == EndpointListUpdate::failed) return subscription.list_failed(now_ms);
  if (kind != EndpointListUpdate::cached) subscription.list_received();
  auto& listed = endpoints.listed;
  if (kind != EndpointListUpdate::delta)
    for (EndpointIndex i : listed) endpoints[i].state = EndpointState::gone;
  for (const auto& entry : entries)
    if (entry.endpoint >= EndpointIndex{0}) update_endpoint(entry, now_ms);
  double sum = 0;
  for (EndpointIndex i : listed) sum += endpoints[i].weight;
  endpoints.mean_weight = listed.empty() ? 1 : sum / static_cast<double>(listed.size());
  std::erase_if(listed, [this](EndpointIndex i) { return endpoints[i].state == EndpointState::gone; });
}

void Policy::Core::update_endpoint(const EndpointEntry& entry, double now_ms) {
  endpoints.add_up_to(entry.endpoint);
  auto& endpoint = endpoints[entry.endpoint];
  endpoint.state = entry.state;
  // Of one that is gone no more is told: where it stood still decides where a deduplicated request may go.
  if (entry.state == EndpointState::gone) return;
  auto& listed = endpoints.listed;
  bool known = std::find(listed.begin(), listed.end(), entry.endpoint) != listed.end();
  if (!known) listed.push_back(entry.endpoint);
  // Another process: nothing known of the one before counts, but what is in flight there and whether an
  // operator has drained it.
  if (!known || entry.up_since_ms > endpoint.up_since_ms) {
    Endpoint was = std::exchange(endpoint, Endpoint{});
    endpoint.in_flight = was.in_flight;
    endpoint.manually_drained = was.manually_drained;
    endpoint.drained_at_ms = was.drained_at_ms;
    if (known) endpoint.undrained_at_ms = was.undrained_at_ms;
    endpoint.last_sign_at_ms = now_ms;
    slow_start.start(endpoint, now_ms);
  }
  endpoint.zone = entry.zone;
  endpoint.cell = entry.cell;
  endpoint.id = entry.id & id_bits;
  endpoint.server_kind = std::max(0, entry.server_kind);
  outliers.add_server_kind(endpoint.server_kind);
  load.add_server_kind(endpoint.server_kind);
  endpoint.weight = settings.weighted && entry.weight > 0 ? entry.weight : 1;
  endpoint.up_since_ms = std::max(endpoint.up_since_ms, entry.up_since_ms);
  endpoint.state = entry.state;
  if (entry.manually_drained && !endpoint.manually_drained) endpoint.drained_at_ms = now_ms;
  endpoint.manually_drained = entry.manually_drained;
}

// Put back, nothing known of it counts, and the next request tries it; unless a list has told when it was
// started again, it is warming up from now on.
void Policy::Core::set_manual_drain(EndpointIndex index, bool drained, double now_ms) {
  if (!endpoints.knows(index) || endpoints[index].manually_drained == drained) return;
  auto& endpoint = endpoints[index];
  if (drained) {
    endpoint.manually_drained = true;
    endpoint.drained_at_ms = now_ms;
    return;
  }
  Endpoint was = std::exchange(endpoint, Endpoint{});
  endpoint.zone = was.zone;
  endpoint.cell = was.cell;
  endpoint.server_kind = was.server_kind;
  endpoint.state = was.state;
  endpoint.weight = was.weight;
  endpoint.id = was.id;
  endpoint.in_flight = was.in_flight;
  endpoint.up_since_ms = was.up_since_ms > was.drained_at_ms ? was.up_since_ms : now_ms;
  endpoint.last_sign_at_ms = endpoint.undrained_at_ms = now_ms;
  SlowStart::restore_after_drain(endpoint, now_ms);
}

int Policy::Core::unavailable(double now_ms, std::vector<EndpointIndex>* unhealthy) const {
  int count = 0;
  for (EndpointIndex i : endpoints.listed) {
    const auto& endpoint = endpoints[i];
    bool bad = endpoint.state == EndpointState::ready &&
               (outliers.ejected(endpoint, now_ms) || outliers.unresponsive(endpoint, now_ms));
    if (bad && unhealthy) unhealthy->push_back(i);
    count += endpoint.manually_drained || bad;
  }
  return count;
}

void Policy::Core::log_drops(double now_ms) {
  double dropped = throttle.drop_probability(now_ms);
  if (dropped > log_drops_from && now_ms - drops_logged_at_ms > log_drops_every_ms) {
    log_lines.push_back("throttle refuses " + std::to_string(std::lround(dropped * 100)) + " in 100");
    drops_logged_at_ms = now_ms;
  }
}

void Policy::Core::gossip_received(const GossipContent& content, double now_ms) {
  affinity.gossip_received(content.keys);
  load.gossip_received(content.endpoints, now_ms);
}

// What a successor would learn anew at its requests' cost. Outcomes, budgets and what is in flight are its
// own.
LearnedParts Policy::Core::learned_parts() const {
  LearnedParts parts{.limiter = limiter.learned(),
                     .locality = locality.learned(),
                     .p95_latency_ms = outliers.p95_latency_ms(),
                     .class_mean_log_latency = {}};
  for (const auto& c : classes.all) parts.class_mean_log_latency.push_back(c.mean_log_latency);
  return parts;
}

LearnedState Policy::Core::learned_state(double now_ms) const {
  LearnedState state;
  if (!limiter.has_learned_tier()) return state;
  save(learned_parts(), state);
  for (EndpointIndex i : endpoints.listed)
    if (double until = outliers.ejected_for_successor(endpoints[i], now_ms); until > 0)
      save_ejection(i, until, state);
  return state;
}

void Policy::Core::restore(const LearnedState& state, double now_ms) {
  if (state.empty() || limiter.has_any_sample()) return;
  auto parts = learned_parts();
  meadowgauge::restore(state, parts);
  limiter.restore(parts.limiter);
  locality.restore(parts.locality);
  outliers.restore_p95_latency_ms(parts.p95_latency_ms);
  for (std::size_t i = 0; i < classes.all.size(); ++i)
    classes.all[i].mean_log_latency = parts.class_mean_log_latency[i];
  for (EndpointIndex i : endpoints.listed) {
    endpoints[i].awaiting_first_outcome = false;
    auto until = saved_ejection(state, i);
    if (until && *until > now_ms) outliers.restore_ejection(endpoints[i], *until, now_ms);
  }
}

Policy::Policy(const Settings& settings, std::uint64_t seed, double now_ms)
    : core_(std::make_unique<Core>(settings, seed, now_ms)) {}
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;
Policy::~Policy() = default;

Decision Policy::decide(Request& request, double now_ms) { return core_->decide(request, now_ms); }

Decision Policy::attempt_ended(Request& request, const AttemptResult& result, double now_ms) {
  return core_->attempt_ended(request, result, now_ms);
}

AttemptTimeout Policy::attempt_timeout(const Request& request, double now_ms) {
  return core_->retries.timeout(request, now_ms);
}

bool Policy::may_still_be_sent(const Request& request, int attempt) const {
  return core_->retries.may_still_be_sent(request, request.attempts[static_cast<std::size_t>(attempt)]);
}

Decision Policy::client_left(Request& request, double) {
  request.answered = true;
  return {.cancel = core_->cancellable(request)};
}

Decision Policy::response_started(Request& request, int attempt, double now_ms) {
  if (attempt < 0 || attempt >= request.attempt_count) return {};
  core_->response_started(request, request.attempts[static_cast<std::size_t>(attempt)], now_ms);
  return {.cancel = core_->cancellable(request) & ~(1u << attempt)};
}

void Policy::body_complete(Request& request, double deadline_ms, double now_ms) {
  core_->body_complete(request, deadline_ms, now_ms);
}

void Policy::update_endpoints(EndpointListUpdate kind, std::span<const EndpointEntry> entries,
                              double now_ms) {
  core_->update_endpoints(kind, entries, now_ms);
}

void Policy::probe_ended(EndpointIndex endpoint, Outcome outcome, double took_ms,
                         const LoadReport& load_report, double now_ms) {
  core_->load.probe_ended(endpoint, outcome, took_ms, load_report, now_ms);
}

void Policy::gossip_received(const GossipContent& content, double now_ms) {
  core_->gossip_received(content, now_ms);
}

PeriodicActions Policy::tick(double now_ms) { return core_->tick(now_ms); }

void Policy::set_manual_drain(EndpointIndex endpoint, bool drained, double now_ms) {
  core_->set_manual_drain(endpoint, drained, now_ms);
}

LearnedState Policy::learned_state(double now_ms) const { return core_->learned_state(now_ms); }

void Policy::restore(const LearnedState& state, double now_ms) { core_->restore(state, now_ms); }

int Policy::unavailable_endpoints(double now_ms, std::vector<EndpointIndex>* unhealthy) const {
  return core_->unavailable(now_ms, unhealthy);
}

double Policy::drop_probability(double now_ms) const { return core_->throttle.drop_probability(now_ms); }

}  // namespace meadowgauge
