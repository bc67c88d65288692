#include "policy/endpoint_picker.hpp"

#include <algorithm>

namespace meadowgauge {

constexpr double panic_share = 0.5;  // with fewer than this share of the ready usable, all are used
// For so long after an ejection, and after a manual drain, only requests that may run again try an endpoint.
constexpr double trial_waits_ms = 4000, restored_waits_ms = 2000;
constexpr double idle_below = 0.5;  // requests in flight
constexpr double far_load = 0.1;    // of a request: the own zone's servers go first among equals

EndpointPicker::EndpointPicker(const PickerParts& parts) : parts_(parts) {
  auto repeatable = [](const auto& c) { return c.repeatable(); };
  some_repeatable_ = std::ranges::any_of(parts.settings.request_classes, repeatable);
}

EndpointIndex EndpointPicker::pick(const Request& request, double now_ms) {
  rejection_reason_ = RejectionReason::no_server;
  auto& limiter = parts_.limiter;
  auto tier = gather(request, now_ms);
  bool limits = limiter.applies_to(request);
  if (limits && limiter.has_count_signal(tier.ready) && refuses(limiter.is_tier_full(request, tier.ready)))
    return no_endpoint;
  // Taking servers out must not empty the tier: where most look unhealthy, the tier is, and all are used.
  // What a rule keeps from a request is not unhealthy: with most servers new, quick failers were used.
  if (candidates_.empty() || tier.unhealthy > (1 - panic_share) * (tier.ready - request.attempt_count))
    gather_all(request, tier.ready, now_ms);
  if (candidates_.empty()) return no_endpoint;
  if (EndpointIndex i = restored_candidate(request, now_ms); i != no_endpoint) return i;
  if (parts_.affinity.applies_to(request)) {
    double target_ms = parts_.classes.of(request).settings.target_ms;
    EndpointIndex i = parts_.affinity.pick(request, target_ms, candidates_, now_ms);
    bool full = limiter.is_full_by_report(request, parts_.endpoints[i], now_ms);
    return limits && refuses(full) ? no_endpoint : i;
  }
  if (EndpointIndex i = parts_.load.uses_probes() ? least_probed(now_ms) : no_endpoint; i != no_endpoint) {
    bool full = limiter.is_full_by_probe(request, parts_.endpoints[i], now_ms);
    return limits && refuses(full) ? no_endpoint : i;
  }
  parts_.locality.restrict_to_local(candidates_);
  return idle_or_lesser(tier.mean_in_flight, now_ms);
}

// A trial of a server that may still fail costs a non-idempotent request, and nothing one that may run again.
bool EndpointPicker::must_avoid_trials(const Request& request) const {
  return some_repeatable_ && !parts_.classes.of(request).settings.repeatable();
}

EndpointPicker::Tier EndpointPicker::gather(const Request& request, double now_ms) {
  candidates_.clear();
  parts_.slow_start.update_any_warmed_up(now_ms);
  Tier tier;
  double in_flight = 0;
  int proven = 0;
  bool lost = must_avoid_trials(request);
  for (EndpointIndex i : parts_.endpoints.listed) {
    auto& endpoint = parts_.endpoints[i];
    if (!endpoint.is_available()) continue;
    ++tier.ready;
    if (!endpoint.awaiting_first_outcome) in_flight += endpoint.in_flight, ++proven;
    parts_.slow_start.refill(endpoint, now_ms);
    if (has_tried(request, i)) continue;
    const auto& o = endpoint.outlier;
    if (!parts_.outliers.is_healthy(endpoint, now_ms) ||
        (lost && o.on_trial && now_ms < o.ejected_until_ms + trial_waits_ms))
      ++tier.unhealthy;
    else if (permitted(request, i, now_ms))
      candidates_.push_back(i);
  }
  if (proven > 0) tier.mean_in_flight = in_flight / proven;
  return tier;
}

void EndpointPicker::gather_all(const Request& request, int ready, double now_ms) {
  candidates_.clear();
  for (EndpointIndex i : parts_.endpoints.listed)
    if (permitted(request, i, now_ms) && (!has_tried(request, i) || ready == 1)) candidates_.push_back(i);
}

bool EndpointPicker::permitted(const Request& request, EndpointIndex index, double now_ms) {
  const auto& endpoint = parts_.endpoints[index];
  auto reason = parts_.retries.rejection_reason(request, endpoint, now_ms);
  if (reason == RejectionReason::none && !parts_.slow_start.has_budget(endpoint, now_ms))
    reason = RejectionReason::slow_start;
  if (reason != RejectionReason::no_server) rejection_reason_ = reason;
  return reason == RejectionReason::none;
}

EndpointIndex EndpointPicker::restored_candidate(const Request& request, double now_ms) const {
  bool waits = must_avoid_trials(request);
  for (EndpointIndex i : candidates_) {
    double undrained_at_ms = parts_.endpoints[i].undrained_at_ms;
    if (undrained_at_ms > -never && (!waits || now_ms - undrained_at_ms > restored_waits_ms)) return i;
  }
  return no_endpoint;
}

bool EndpointPicker::refuses(bool full) {
  parts_.limiter.record_decision(full);
  if (full && !candidates_.empty()) rejection_reason_ = RejectionReason::concurrency_limit;
  return full;
}

EndpointIndex EndpointPicker::least_probed(double now_ms) {
  EndpointIndex least = no_endpoint;
  int equal = 0;
  double least_load = never;
  for (EndpointIndex i : candidates_) {
    const auto& endpoint = parts_.endpoints[i];
    if (!parts_.load.has_fresh_probe(endpoint, now_ms) || endpoint.load.probed_load == never) continue;
    bool crosses = parts_.locality.has_cross_zone_cost() && parts_.locality.is_remote(endpoint);
    double load = (endpoint.load.probed_load + 1) / parts_.slow_start.capacity_fraction(endpoint, now_ms);
    load += crosses ? far_load : 0;
    if (load < least_load) least = i, least_load = load, equal = 0;
    if (load == least_load && parts_.random.uniform() * ++equal < 1) least = i;
  }
  return least;
}

EndpointIndex EndpointPicker::idle_or_lesser(double mean_in_flight, double now_ms) {
  auto& endpoints = parts_.endpoints;
  if (parts_.load.uses_load_reports())
    for (EndpointIndex i : candidates_)
      endpoints[i].load.expected_ms = parts_.load.response_ms(endpoints[i], now_ms);
  auto known_in_flight = [&](EndpointIndex i) {
    double own = endpoints[i].in_flight;
    return endpoints[i].awaiting_first_outcome ? std::max(own, mean_in_flight) : own;
  };
  double idle = 0, all = 0;
  EndpointIndex picked = no_endpoint;
  for (EndpointIndex i : candidates_) {
    if (known_in_flight(i) >= idle_below) continue;
    double w = weight(endpoints[i]);
    idle += w;
    if (parts_.random.uniform() * idle < w) picked = i;
  }
  if (picked != no_endpoint) return picked;
  for (EndpointIndex i : candidates_) all += weight(endpoints[i]);
  EndpointIndex a = draw(all);
  EndpointIndex b = draw(all);
  return (known_in_flight(b) + 1) * weight(endpoints[a]) < (known_in_flight(a) + 1) * weight(endpoints[b])
             ? b
             : a;
}

// A server's part of the draws: its listed weight, less the slower than its peers it has been of late.
double EndpointPicker::weight(const Endpoint& endpoint) const {
  double ms = endpoint.load.expected_ms;
  return parts_.load.uses_load_reports() ? 1 / (ms * ms)
                                         : endpoint.weight * parts_.outliers.speed_factor(endpoint);
}

EndpointIndex EndpointPicker::draw(double all_weights) {
  double left = parts_.random.uniform() * all_weights;
  for (EndpointIndex i : candidates_)
    if ((left -= weight(parts_.endpoints[i])) <= 0) return i;
  return candidates_.back();
}

}  // namespace meadowgauge
