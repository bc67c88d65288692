#include "policy/endpoint_picker.hpp"

#include <algorithm>

namespace meadowgauge {
namespace {

constexpr double panic_threshold_share = 0.5;      // of the ready endpoints healthy; below it all are used
constexpr double trial_repeatable_only_ms = 4000;  // after an ejection, only repeatable requests try it
constexpr double undrained_repeatable_only_ms = 2000;  // the same after a manual drain
constexpr double max_idle_requests = 0.5;          // own requests in flight below which an endpoint is idle
constexpr double remote_tie_break_requests = 0.1;  // load added to other zones, so that the own one wins ties

// Own requests in flight. An endpoint without an outcome yet counts as busy as the others, or a new one would
// attract every pick.
double assumed_in_flight(const Endpoint& endpoint, double mean_in_flight) {
  double own = endpoint.in_flight;
  return endpoint.awaiting_first_outcome ? std::max(own, mean_in_flight) : own;
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
  if (is_limited && limiter.has_count_signal(tier.ready) &&
      is_rejected(limiter.is_tier_full(request, tier.ready)))
    return no_endpoint;
  // A shared fault makes all look unhealthy; ejecting endpoints would then only empty the tier. An endpoint
  // that a rule excludes is not unhealthy: with most endpoints new, quick failers would be used again.
  double untried = tier.ready - request.attempt_count;
  if (candidates_.empty() || tier.unhealthy > (1 - panic_threshold_share) * untried)
    gather_regardless_of_health(request, tier.ready, now_ms);
  if (candidates_.empty()) return no_endpoint;
  if (EndpointIndex index = undrained_candidate(request, now_ms); index != no_endpoint) return index;
  if (EndpointIndex index = fleet_trial_candidate(request); index != no_endpoint) return index;
  if (parts_.affinity.applies_to(request)) {
    EndpointIndex index = pick_by_affinity(request, now_ms);
    bool is_full = limiter.is_full_by_report(request, parts_.endpoints[index], now_ms);
    return admit_unless(is_full, is_limited, index);
  }
  EndpointIndex lowest = parts_.load.uses_probes() ? pick_lowest_probed_load(now_ms) : no_endpoint;
  if (lowest != no_endpoint) {
    bool is_full = limiter.is_full_by_probe(request, parts_.endpoints[lowest], now_ms);
    return admit_unless(is_full, is_limited, lowest);
  }
  parts_.locality.restrict_to_local(candidates_);
  return pick_idle_or_lesser(tier.mean_in_flight, now_ms);
}

EndpointIndex EndpointPicker::admit_unless(bool is_full, bool is_limited, EndpointIndex index) {
  return is_limited && is_rejected(is_full) ? no_endpoint : index;
}

bool EndpointPicker::is_rejected(bool is_full) {
  parts_.limiter.record_decision(is_full);
  if (is_full && !candidates_.empty()) rejection_reason_ = RejectionReason::concurrency_limit;
  return is_full;
}

// Collects the endpoints that this request may go to; on the way, slow start's budgets are brought up to
// date.
EndpointPicker::TierCounts EndpointPicker::gather_healthy(const Request& request, double now_ms) {
  candidates_.clear();
  parts_.slow_start.update_any_warmed_up(now_ms);
  TierCounts tier;
  double sum_in_flight = 0;
  int with_outcome = 0;
  for (EndpointIndex index : parts_.endpoints.listed()) {
    auto& endpoint = parts_.endpoints[index];
    if (!endpoint.is_available()) continue;
    ++tier.ready;
    if (!endpoint.awaiting_first_outcome) {
      sum_in_flight += endpoint.in_flight;
      ++with_outcome;
    }
    parts_.slow_start.refill(endpoint, now_ms);
    if (has_tried(request, index)) continue;
    if (!is_healthy_for(request, endpoint, now_ms)) {
      ++tier.unhealthy;
    } else if (is_permitted(request, index, now_ms)) {
      candidates_.push_back(index);
    }
  }
  if (with_outcome > 0) tier.mean_in_flight = sum_in_flight / with_outcome;
  return tier;
}

// The panic threshold's candidates. An endpoint that was tried before comes again only where it is alone.
void EndpointPicker::gather_regardless_of_health(const Request& request, int ready, double now_ms) {
  candidates_.clear();
  for (EndpointIndex index : parts_.endpoints.listed())
    if (is_permitted(request, index, now_ms) && (!has_tried(request, index) || ready == 1))
      candidates_.push_back(index);
}

// Whether the endpoint looks healthy enough for this request: not ejected, unresponsive or reported to fail,
// and not in a recent half-open trial unless the request may run again.
bool EndpointPicker::is_healthy_for(const Request& request, const Endpoint& endpoint, double now_ms) const {
  if (!parts_.outliers.is_healthy(endpoint, now_ms)) return false;
  const auto& outlier = endpoint.outlier;
  bool in_recent_trial =
      outlier.ejected_or_half_open && now_ms < outlier.ejected_until_ms + trial_repeatable_only_ms;
  return !(in_recent_trial && must_avoid_trials(request));
}

// A failed trial loses a non-idempotent request; a repeatable one goes on elsewhere. Where every class is
// non-idempotent, somebody has to try.
bool EndpointPicker::must_avoid_trials(const Request& request) const {
  return any_class_is_repeatable_ && !parts_.classes.of(request).settings.repeatable();
}

// Why a rule keeps this endpoint from the request, or `none`. In order:
//  attempts, deadline, no_server, not_repeatable   RetryPolicy::rejection_reason (rules 1 to 3)
//  slow_start                                      SlowStart::has_budget (rule 4)
RejectionReason EndpointPicker::exclusion_reason(const Request& request, const Endpoint& endpoint,
                                                 double now_ms) const {
  auto reason = parts_.retries.rejection_reason(request, endpoint, now_ms);
  if (reason != RejectionReason::none) return reason;
  return parts_.slow_start.has_budget(endpoint, now_ms) ? RejectionReason::none : RejectionReason::slow_start;
}

// Every attempt passes this check. Remembers the reason that excludes an available endpoint.
bool EndpointPicker::is_permitted(const Request& request, EndpointIndex index, double now_ms) {
  auto reason = exclusion_reason(request, parts_.endpoints[index], now_ms);
  if (reason != RejectionReason::no_server) rejection_reason_ = reason;
  return reason == RejectionReason::none;
}

// An endpoint whose manual drain has ended and that has had no attempt since: the next request shows whether
// it works. For some time only a repeatable request does.
EndpointIndex EndpointPicker::undrained_candidate(const Request& request, double now_ms) const {
  bool must_wait = must_avoid_trials(request);
  for (EndpointIndex index : candidates_) {
    double undrained_at_ms = parts_.endpoints[index].undrained_at_ms;
    bool is_undrained = undrained_at_ms > -never;
    if (is_undrained && (!must_wait || now_ms - undrained_at_ms > undrained_repeatable_only_ms)) return index;
  }
  return no_endpoint;
}

// An endpoint whose trial is this balancer's turn and has not been sent yet. All others wait for its outcome:
// left to the draw, the trial could take seconds where requests are few. Only a first attempt that may be
// repeated goes there, as for other trials.
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
  double objective_ms = parts_.classes.of(request).settings.target_ms;
  return parts_.affinity.pick(request, objective_ms, candidates_, now_ms);
}

// Requests in flight at the endpoint with this one, as its last probe tells, for the share of its full
// capacity that it has while it warms up. Other zones lose ties.
double EndpointPicker::probed_load(const Endpoint& endpoint, double now_ms) const {
  double load = (endpoint.load.probed_load + 1) / parts_.slow_start.capacity_fraction(endpoint, now_ms);
  bool is_costly = parts_.locality.has_cross_zone_cost() && parts_.locality.is_remote(endpoint);
  return load + (is_costly ? remote_tie_break_requests : 0);
}

// The least loaded of the candidates with a fresh probe, at random among equals; `no_endpoint`: none has one.
EndpointIndex EndpointPicker::pick_lowest_probed_load(double now_ms) {
  EndpointIndex lowest = no_endpoint;
  double min_load = never;
  int equal = 0;
  for (EndpointIndex index : candidates_) {
    const auto& endpoint = parts_.endpoints[index];
    if (!parts_.load.has_fresh_probe(endpoint, now_ms) || endpoint.load.probed_load == never) continue;
    double load = probed_load(endpoint, now_ms);
    if (load < min_load) {
      lowest = index;
      min_load = load;
      equal = 0;
    }
    if (load == min_load && parts_.random.uniform() * ++equal < 1) lowest = index;
  }
  return lowest;
}

EndpointIndex EndpointPicker::pick_idle_or_lesser(double mean_in_flight, double now_ms) {
  auto& endpoints = parts_.endpoints;
  if (parts_.load.uses_load_reports()) {
    for (EndpointIndex index : candidates_)
      endpoints[index].load.expected_ms = parts_.load.response_ms(endpoints[index], now_ms);
  }
  EndpointIndex idle = draw_idle(mean_in_flight);
  return idle != no_endpoint ? idle : lesser_of_two(mean_in_flight);
}

// Draws one idle candidate by weight, in one pass; `no_endpoint`: none is idle.
EndpointIndex EndpointPicker::draw_idle(double mean_in_flight) {
  double sum_of_weights = 0;
  EndpointIndex drawn = no_endpoint;
  for (EndpointIndex index : candidates_) {
    const auto& endpoint = parts_.endpoints[index];
    if (assumed_in_flight(endpoint, mean_in_flight) >= max_idle_requests) continue;
    double own_weight = weight(endpoint);
    sum_of_weights += own_weight;
    if (parts_.random.uniform() * sum_of_weights < own_weight) drawn = index;
  }
  return drawn;
}

// Draws two candidates by weight; the one with fewer own requests in flight for its weight.
EndpointIndex EndpointPicker::lesser_of_two(double mean_in_flight) {
  const auto& endpoints = parts_.endpoints;
  double sum_of_weights = 0;
  for (EndpointIndex index : candidates_) sum_of_weights += weight(endpoints[index]);
  EndpointIndex first = draw(sum_of_weights);
  EndpointIndex second = draw(sum_of_weights);
  double first_load = assumed_in_flight(endpoints[first], mean_in_flight) + 1;
  double second_load = assumed_in_flight(endpoints[second], mean_in_flight) + 1;
  return second_load * weight(endpoints[first]) < first_load * weight(endpoints[second]) ? second : first;
}

// An endpoint's weight in the draws. Where responses report queue depths: 1 / expected latency squared.
// Otherwise the listed weight, reduced for an endpoint slower than its peers.
double EndpointPicker::weight(const Endpoint& endpoint) const {
  double expected_ms = endpoint.load.expected_ms;
  if (parts_.load.uses_load_reports()) return 1 / (expected_ms * expected_ms);
  return endpoint.weight * parts_.outliers.speed_factor(endpoint);
}

EndpointIndex EndpointPicker::draw(double sum_of_weights) {
  double left = parts_.random.uniform() * sum_of_weights;
  for (EndpointIndex index : candidates_) {
    left -= weight(parts_.endpoints[index]);
    if (left <= 0) return index;
  }
  return candidates_.back();
}

}  // namespace meadowgauge
