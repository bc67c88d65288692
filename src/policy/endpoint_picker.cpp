#include "policy/endpoint_picker.hpp"

#include <algorithm>

namespace meadowgauge {
namespace {

constexpr double panic_threshold_share = 0.5;      // below this share of healthy ready endpoints all are used
constexpr double trial_repeatable_only_ms = 4000;  // after an ejection: only repeatable requests as trials
constexpr double undrained_repeatable_only_ms = 2000;  // the same after a manual drain
constexpr double max_idle_requests = 0.5;          // an endpoint with fewer requests of this balancer is idle
constexpr double remote_tie_break_requests = 0.1;  // load added to other zones: the local zone wins ties

// This balancer's requests in flight to the endpoint. An endpoint without an outcome counts as at least as
// busy as the mean, since a new endpoint would attract every pick otherwise.
double assumed_in_flight(const Endpoint& endpoint, double mean_in_flight) {
  double own_in_flight = endpoint.in_flight;
  return endpoint.awaiting_first_outcome ? std::max(own_in_flight, mean_in_flight) : own_in_flight;
}

}  // namespace

EndpointPicker::EndpointPicker(const PickerParts& parts) : parts_(parts) {
  auto is_repeatable = [](const RequestClassSettings& settings) { return settings.repeatable(); };
  any_class_is_repeatable_ = std::ranges::any_of(parts.settings.request_classes, is_repeatable);
}

EndpointIndex EndpointPicker::pick(const Request& request, double now_ms) {
  rejection_reason_ = RejectionReason::no_server;
  auto& limiter = parts_.limiter;
  auto tier = gather_healthy(request, now_ms);
  bool is_limited = limiter.applies_to(request);
  if (is_limited && limiter.can_limit_by_in_flight(tier.ready) &&
      reject_if_full(limiter.is_tier_full(request, tier.ready)))
    return no_endpoint;
  // Panic threshold: a shared fault makes all endpoints look unhealthy, and ejecting them would only empty
  // the tier. Endpoints excluded by a rule do not count as unhealthy: with most endpoints new, the threshold
  // would bring endpoints that fail quickly back into use.
  double untried = tier.ready - request.attempt_count;
  if (candidates_.empty() || tier.unhealthy > (1 - panic_threshold_share) * untried)
    gather_regardless_of_health(request, tier.ready, now_ms);
  if (candidates_.empty()) return no_endpoint;
  if (EndpointIndex index = undrained_candidate(request, now_ms); index != no_endpoint) return index;
  if (EndpointIndex index = fleet_trial_candidate(request); index != no_endpoint) return index;
  if (parts_.affinity.applies_to(request)) {
    EndpointIndex index = pick_by_affinity(request, now_ms);
    bool is_full = limiter.is_full_by_report(request, parts_.endpoints[index], now_ms);
    return admit_unless_full(is_full, is_limited, index);
  }
  EndpointIndex lowest = parts_.load.uses_probes() ? pick_lowest_probed_load(now_ms) : no_endpoint;
  if (lowest != no_endpoint) {
    bool is_full = limiter.is_full_by_probe(request, parts_.endpoints[lowest], now_ms);
    return admit_unless_full(is_full, is_limited, lowest);
  }
  parts_.locality.restrict_to_local(candidates_);
  return pick_idle_or_less_loaded(tier.mean_in_flight, now_ms);
}

// Returns `no_endpoint` if the endpoint is full and the request is subject to the limit, else the endpoint.
EndpointIndex EndpointPicker::admit_unless_full(bool is_full, bool is_limited, EndpointIndex index) {
  return is_limited && reject_if_full(is_full) ? no_endpoint : index;
}

// Reports the decision to the limiter. On a rejection, stores the reason unless no endpoint was a candidate
// anyway. Returns `is_full`.
bool EndpointPicker::reject_if_full(bool is_full) {
  parts_.limiter.record_decision(is_full);
  if (is_full && !candidates_.empty()) rejection_reason_ = RejectionReason::concurrency_limit;
  return is_full;
}

// Collects the candidates for this request: endpoints that are healthy, permitted and not yet tried. Also
// refills the slow-start budgets.
EndpointPicker::TierCounts EndpointPicker::gather_healthy(const Request& request, double now_ms) {
  candidates_.clear();
  parts_.slow_start.update_any_warmed_up(now_ms);
  TierCounts tier;
  double sum_in_flight = 0;
  int endpoints_with_outcome = 0;
  for (EndpointIndex index : parts_.endpoints.listed()) {
    auto& endpoint = parts_.endpoints[index];
    if (!endpoint.is_available()) continue;
    ++tier.ready;
    if (!endpoint.awaiting_first_outcome) {
      sum_in_flight += endpoint.in_flight;
      ++endpoints_with_outcome;
    }
    parts_.slow_start.refill(endpoint, now_ms);
    if (has_tried(request, index)) continue;
    if (!is_healthy_for(request, endpoint, now_ms)) {
      ++tier.unhealthy;
    } else if (is_permitted(request, index, now_ms)) {
      candidates_.push_back(index);
    }
  }
  if (endpoints_with_outcome > 0) tier.mean_in_flight = sum_in_flight / endpoints_with_outcome;
  return tier;
}

// Collects the candidates below the panic threshold. An endpoint that was tried before is a candidate only if
// it is the only ready endpoint.
void EndpointPicker::gather_regardless_of_health(const Request& request, int ready, double now_ms) {
  candidates_.clear();
  for (EndpointIndex index : parts_.endpoints.listed())
    if (is_permitted(request, index, now_ms) && (!has_tried(request, index) || ready == 1))
      candidates_.push_back(index);
}

// Whether the endpoint is healthy enough for this request: not ejected, not unresponsive, not reported as
// failing, and not in a recent half-open trial unless the request may be repeated.
bool EndpointPicker::is_healthy_for(const Request& request, const Endpoint& endpoint, double now_ms) const {
  if (!parts_.outliers.is_healthy(endpoint, now_ms)) return false;
  const auto& outlier = endpoint.outlier;
  bool in_recent_trial =
      outlier.ejected_or_half_open && now_ms < outlier.ejected_until_ms + trial_repeatable_only_ms;
  return !(in_recent_trial && must_avoid_trials(request));
}

// Whether the request must not be used as a trial. A failed trial loses a non-idempotent request, while a
// repeatable request is retried elsewhere. If no class is repeatable, any request may be a trial.
bool EndpointPicker::must_avoid_trials(const Request& request) const {
  return any_class_is_repeatable_ && !parts_.classes.of(request).settings.repeatable();
}

// The first rule that forbids sending the request to this endpoint, or `none`. Checked in this order:
//  attempts, deadline, no_server, not_repeatable   RetryPolicy::rejection_reason (rules 1 to 3)
//  slow_start                                      SlowStart::has_budget (rule 4)
RejectionReason EndpointPicker::exclusion_reason(const Request& request, const Endpoint& endpoint,
                                                 double now_ms) const {
  auto reason = parts_.retries.rejection_reason(request, endpoint, now_ms);
  if (reason != RejectionReason::none) return reason;
  return parts_.slow_start.has_budget(endpoint, now_ms) ? RejectionReason::none : RejectionReason::slow_start;
}

// Whether no rule excludes the endpoint. Every attempt passes this check. Stores the reason that excludes an
// available endpoint.
bool EndpointPicker::is_permitted(const Request& request, EndpointIndex index, double now_ms) {
  auto reason = exclusion_reason(request, parts_.endpoints[index], now_ms);
  if (reason != RejectionReason::no_server) rejection_reason_ = reason;
  return reason == RejectionReason::none;
}

// Returns an endpoint whose manual drain has ended and that has received no attempt since; the next request
// shows whether the endpoint works. For the first 2 s only a repeatable request is used.
EndpointIndex EndpointPicker::undrained_candidate(const Request& request, double now_ms) const {
  bool must_wait = must_avoid_trials(request);
  for (EndpointIndex index : candidates_) {
    double undrained_at_ms = parts_.endpoints[index].undrained_at_ms;
    bool is_undrained = undrained_at_ms > -never;
    if (is_undrained && (!must_wait || now_ms - undrained_at_ms > undrained_repeatable_only_ms)) return index;
  }
  return no_endpoint;
}

// Returns an endpoint whose trial is this balancer's turn and has not been sent yet. The other balancers wait
// for the outcome, and a random pick could delay the trial by seconds at a low request rate. Only the first
// attempt of a repeatable request is used.
EndpointIndex EndpointPicker::fleet_trial_candidate(const Request& request) const {
  if (request.attempt_count > 0 || must_avoid_trials(request)) return no_endpoint;
  auto awaits_trial = [&](EndpointIndex index) {
    return parts_.endpoints[index].fleet_trial == FleetTrial::requested;
  };
  auto it = std::ranges::find_if(candidates_, awaits_trial);
  return it == candidates_.end() ? no_endpoint : *it;
}

void EndpointPicker::request_trials(std::span<const std::uint32_t> endpoint_ids) {
  for (EndpointIndex index : parts_.endpoints.listed()) {
    auto& endpoint = parts_.endpoints[index];
    bool is_our_turn = std::ranges::find(endpoint_ids, endpoint.id) != endpoint_ids.end();
    if (!is_our_turn)
      endpoint.fleet_trial = FleetTrial::none;
    else if (endpoint.fleet_trial == FleetTrial::none)
      endpoint.fleet_trial = FleetTrial::requested;
  }
}

EndpointIndex EndpointPicker::pick_by_affinity(const Request& request, double now_ms) {
  double objective_ms = parts_.classes.of(request).settings.latency_objective_ms;
  return parts_.affinity.pick(request, objective_ms, candidates_, now_ms);
}

// Load of the endpoint if the request is sent there: (requests in flight by the last probe + 1) / capacity
// fraction, which is below 1 during slow start. Endpoints in other zones lose ties if crossing zones costs.
double EndpointPicker::probed_load(const Endpoint& endpoint, double now_ms) const {
  double load = (endpoint.load.probed_load + 1) / parts_.slow_start.capacity_fraction(endpoint, now_ms);
  bool is_costly = parts_.locality.has_cross_zone_cost() && parts_.locality.is_remote(endpoint);
  return load + (is_costly ? remote_tie_break_requests : 0);
}

// Returns the least loaded candidate with a fresh probe, at random among equals, or `no_endpoint` if no
// candidate has a fresh probe.
EndpointIndex EndpointPicker::pick_lowest_probed_load(double now_ms) {
  EndpointIndex lowest = no_endpoint;
  double min_load = never;
  int tie_count = 0;
  for (EndpointIndex index : candidates_) {
    const auto& endpoint = parts_.endpoints[index];
    if (!parts_.load.has_fresh_probe(endpoint, now_ms) || endpoint.load.probed_load == never) continue;
    double load = probed_load(endpoint, now_ms);
    if (load < min_load) {
      lowest = index;
      min_load = load;
      tie_count = 0;
    }
    if (load == min_load && parts_.random.uniform() * ++tie_count < 1) lowest = index;
  }
  return lowest;
}

EndpointIndex EndpointPicker::pick_idle_or_less_loaded(double mean_in_flight, double now_ms) {
  auto& endpoints = parts_.endpoints;
  if (parts_.load.uses_load_reports()) {
    for (EndpointIndex index : candidates_)
      endpoints[index].load.expected_ms = parts_.load.response_ms(endpoints[index], now_ms);
  }
  EndpointIndex idle = draw_idle(mean_in_flight);
  return idle != no_endpoint ? idle : pick_less_loaded_of_two(mean_in_flight);
}

// Draws one idle candidate by weight, in one pass. Returns `no_endpoint` if no candidate is idle.
EndpointIndex EndpointPicker::draw_idle(double mean_in_flight) {
  double sum_of_weights = 0;
  EndpointIndex drawn = no_endpoint;
  for (EndpointIndex index : candidates_) {
    const auto& endpoint = parts_.endpoints[index];
    if (assumed_in_flight(endpoint, mean_in_flight) >= max_idle_requests) continue;
    double candidate_weight = weight(endpoint);
    sum_of_weights += candidate_weight;
    if (parts_.random.uniform() * sum_of_weights < candidate_weight) drawn = index;
  }
  return drawn;
}

// Draws two candidates by weight and returns the one with fewer of this balancer's requests in flight per
// weight.
EndpointIndex EndpointPicker::pick_less_loaded_of_two(double mean_in_flight) {
  const auto& endpoints = parts_.endpoints;
  double sum_of_weights = 0;
  for (EndpointIndex index : candidates_) sum_of_weights += weight(endpoints[index]);
  EndpointIndex first = draw(sum_of_weights);
  EndpointIndex second = draw(sum_of_weights);
  double first_load = assumed_in_flight(endpoints[first], mean_in_flight) + 1;
  double second_load = assumed_in_flight(endpoints[second], mean_in_flight) + 1;
  return second_load * weight(endpoints[first]) < first_load * weight(endpoints[second]) ? second : first;
}

// The endpoint's weight in random draws: 1 / (expected latency)^2 if responses report queue depths, else the
// listed weight, reduced for an endpoint that is slower than its peers.
double EndpointPicker::weight(const Endpoint& endpoint) const {
  double expected_ms = endpoint.load.expected_ms;
  if (parts_.load.uses_load_reports()) return 1 / (expected_ms * expected_ms);
  return endpoint.weight * parts_.outliers.speed_factor(endpoint);
}

EndpointIndex EndpointPicker::draw(double sum_of_weights) {
  double remaining = parts_.random.uniform() * sum_of_weights;
  for (EndpointIndex index : candidates_) {
    remaining -= weight(parts_.endpoints[index]);
    if (remaining <= 0) return index;
  }
  return candidates_.back();
}

}  // namespace meadowgauge
