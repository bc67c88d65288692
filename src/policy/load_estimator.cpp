#include "policy/load_estimator.hpp"

#include <algorithm>
#include <cmath>

#include "policy/moving_average.hpp"

namespace meadowgauge {

namespace {

// Probes.
constexpr int probes_per_request = 5;
constexpr int draws_per_probe = 3;            // limit on random draws, per probe to be sent
constexpr double probe_wait_multiplier = 2;   // mean probe durations that a request waits, plus a wire tick
constexpr double probe_fresh_multiplier = 5;  // mean probe durations that a result is used, plus two ticks
constexpr double probe_duration_gain = 0.02;  // weight of one probe
constexpr double prediction_gain = 0.02;      // weight of one response
constexpr double min_prediction_multiplier = 0.5;  // lower bound of actual / predicted latency
constexpr double max_prediction_multiplier = 2;

// Load reports.
constexpr double hint_gain = 0.02;                  // weight of one request's hint of its work
constexpr double work_gain = 0.02;                  // weight of one response
constexpr double server_kind_gain = 0.01;           // weight of one response
constexpr double median_step_ratio = 0.04;          // step of the logarithm of the median estimate
constexpr double rejection_latency_multiplier = 4;  // of the typical response, for a rejecting endpoint
constexpr double report_decay_ms = 3000;            // time constant with which a report loses weight
constexpr double queue_decay_ms = 1000;             // the same for admission, since a queue drains sooner
constexpr double typical_decay_ms = 500;  // the same for the typical response while no reports arrive

// Gossip.
constexpr double gossip_interval_ms = 400;
constexpr double min_gossip_interval_share = 0.8;     // shortest interval, as a share of gossip_interval_ms
constexpr double gossip_interval_spread_share = 0.4;  // longest minus shortest interval, likewise

// Expected latency of a request at this queue depth: depth^1.5 * mean work. The latencies behind the mean
// work include queueing, and a proportional estimate from them would be too low; the power of 1.5 makes a
// deeper queue count more than its depth.
double queue_latency_ms(double depth, double mean_work_ms) { return depth * std::sqrt(depth) * mean_work_ms; }

}  // namespace

double LoadEstimator::draw_first_gossip_delay_ms() { return random_.uniform() * gossip_interval_ms; }

// Draws random endpoints that may receive the request. Requests no probes if the request's deadline is at
// most two probe waits away, since waiting would take too long.
bool LoadEstimator::request_probes(Request& request, Decision& decision, double now_ms) {
  const auto& listed = endpoints_.listed();
  if (!uses_probes() || request.probes_requested_for_attempt > request.attempt_count || listed.empty())
    return false;
  if (now_ms + 2 * probe_wait_ms() >= request.deadline_ms) return false;
  request.probes_requested_for_attempt = request.attempt_count + 1;
  for (int n = 0; n < draws_per_probe * probes_per_request && decision.probe_count < probes_per_request;
       ++n) {
    EndpointIndex index = listed[random_.below(listed.size())];
    auto* end = decision.probes.begin() + decision.probe_count;
    bool is_already_drawn = std::find(decision.probes.begin(), end, index) != end;
    const auto& endpoint = endpoints_[index];
    bool is_usable =
        endpoint.is_available() && outliers_.is_healthy(endpoint, now_ms) && !has_tried(request, index);
    if (is_already_drawn || !is_usable) continue;
    decision.probes[static_cast<std::size_t>(decision.probe_count++)] = index;
  }
  if (decision.probe_count > 0) decision.kind = Decision::wait;
  return decision.probe_count > 0;
}

double LoadEstimator::probe_wait_ms() const {
  return settings_.wire_tick_ms + probe_wait_multiplier * mean_probe_ms_;
}

void LoadEstimator::probe_ended(EndpointIndex index, Outcome outcome, double took_ms,
                                const LoadReport& report, double now_ms) {
  if (!uses_probes() || !endpoints_.knows(index)) return;
  auto column = static_cast<std::size_t>(settings_.probe_column);
  bool has_load =
      outcome == Outcome::succeeded && settings_.probe_column < report.count && report.values[column] >= 0;
  endpoints_[index].load.probed_load = has_load ? report.values[column] : never;
  endpoints_[index].load.probed_at_ms = now_ms;
  if (has_load) mean_probe_ms_ += probe_duration_gain * (took_ms - mean_probe_ms_);
}

bool LoadEstimator::has_fresh_probe(const Endpoint& endpoint, double now_ms) const {
  double max_age_ms = 2 * settings_.wire_tick_ms + probe_fresh_multiplier * mean_probe_ms_;
  return uses_probes() && now_ms - endpoint.load.probed_at_ms <= max_age_ms;
}

double LoadEstimator::predicted_ms(const Request& request, const Endpoint& endpoint,
                                   double capacity_fraction) const {
  double request_work_ms = request.work_ms > 0 ? request.work_ms : mean_work_ms_;
  return prediction_multiplier_ * (endpoint.load.probed_load * mean_work_ms_ + request_work_ms) /
         capacity_fraction;
}

void LoadEstimator::record_hint(double work_ms) {
  if (work_ms > 0) update_average(mean_work_ms_, work_ms, hint_gain);
}

// The latest report on an endpoint replaces the previous report, whichever balancer received it. Reports are
// never summed, so that a report that arrives twice does not count twice.
void LoadEstimator::record_attempt(Endpoint& endpoint, const Attempt& attempt, const LoadReport& report,
                                   double now_ms) {
  if (!uses_load_reports()) return;
  bool has_succeeded = attempt.outcome == Outcome::succeeded;
  if (has_succeeded && settings_.depth_column < report.count) record_depth(endpoint, attempt, report, now_ms);
  bool is_overloaded = record_overload(endpoint, attempt, now_ms);
  OutlierDetector::record_for_report(endpoint, !has_succeeded, is_overloaded, now_ms);
  endpoint.load.reported_at_ms = now_ms;
}

// Raises the expected latency of an endpoint after a rejected or timed-out attempt. Returns whether the
// outcome indicates overload rather than a fault: an overloaded endpoint must not be ejected, or its keys
// would move to other endpoints and cost more there.
bool LoadEstimator::record_overload(Endpoint& endpoint, const Attempt& attempt, double now_ms) const {
  auto& load = endpoint.load;
  if (attempt.outcome == Outcome::rejected) {
    load.response_ms = std::max(load.response_ms, rejection_latency_multiplier * typical_response_ms_);
    return true;
  }
  if (attempt.outcome == Outcome::timeout) {
    double waited_ms = now_ms - attempt.sent_at_ms;
    double expected_ms = response_ms(endpoint, now_ms);
    load.response_ms = std::max(expected_ms, waited_ms);
    return 2 * expected_ms > waited_ms;
  }
  return false;
}

// Updates, from the queue depth that a response reports, the mean work per queue position, the endpoint's
// expected latency, and the latency ratio of its server kind.
void LoadEstimator::record_depth(Endpoint& endpoint, const Attempt& attempt, const LoadReport& report,
                                 double now_ms) {
  double depth = std::max(0.0F, report.values[static_cast<std::size_t>(settings_.depth_column)]) + 1;
  double work_ms = std::max(1.0, now_ms - attempt.sent_at_ms) / depth;
  update_average(mean_work_ms_, work_ms, std::max(work_gain, 1.0 / ++work_samples_));
  double expected_ms = queue_latency_ms(depth, mean_work_ms_);
  if (!std::isfinite(expected_ms)) return;
  endpoint.load.response_ms = expected_ms;
  update_typical_response(endpoint, now_ms, now_ms);
  auto& kind = server_kind_latency_[static_cast<std::size_t>(endpoint.server_kind)];
  double gain = std::max(server_kind_gain, 1.0 / ++kind.samples);
  kind.ratio += gain * (work_ms / std::max(1.0, mean_work_ms_) - kind.ratio);
}

// Moves the logarithm of the estimated median response time by a fixed step, up or down, for each report.
// Latencies are scaled to an endpoint of mean weight.
void LoadEstimator::update_typical_response(const Endpoint& endpoint, double reported_at_ms, double now_ms) {
  if (now_ms - reported_at_ms > report_decay_ms) return;
  typical_reported_at_ms_ = std::max(typical_reported_at_ms_, reported_at_ms);
  double response_ms = endpoint.load.response_ms * endpoint.weight / endpoints_.mean_weight();
  double factor = std::exp(response_ms > typical_response_ms_ ? median_step_ratio : -median_step_ratio);
  typical_response_ms_ = typical_response_ms_ == 0 ? response_ms : typical_response_ms_ * factor;
}

void LoadEstimator::record_duration(const Attempt& attempt, double took_ms) {
  if (mean_work_ms_ == 0) mean_work_ms_ = took_ms;
  if (attempt.expected_ms <= 0) return;
  double error = took_ms / attempt.expected_ms - 1;
  double multiplier = prediction_multiplier_ * (1 + prediction_gain * error);
  prediction_multiplier_ = std::clamp(multiplier, min_prediction_multiplier, max_prediction_multiplier);
}

double LoadEstimator::response_ms(const Endpoint& endpoint, double now_ms) const {
  return decayed_ms(endpoint, now_ms, report_decay_ms);
}

double LoadEstimator::queue_ms(const Endpoint& endpoint, double now_ms) const {
  return decayed_ms(endpoint, now_ms, queue_decay_ms);
}

// The typical latency in ms of an endpoint of this weight. While no reports arrive it decays to the mean
// work: endpoints that reject all requests send no reports, and the last reports show an overload that may be
// over.
double LoadEstimator::typical_ms_for(const Endpoint& endpoint, double now_ms) const {
  double remaining_weight = std::exp((typical_reported_at_ms_ - now_ms) / typical_decay_ms);
  double typical_ms = mean_work_ms_ + (typical_response_ms_ - mean_work_ms_) * remaining_weight;
  return std::max(1.0, typical_ms * endpoints_.mean_weight() / endpoint.weight);
}

// The reported latency, which decays towards the typical latency with the report's age.
double LoadEstimator::decayed_ms(const Endpoint& endpoint, double now_ms, double decay_ms) const {
  double typical_ms = typical_ms_for(endpoint, now_ms);
  const auto& load = endpoint.load;
  if (!(load.response_ms > 0)) return typical_ms;
  double remaining_weight = std::exp((load.reported_at_ms - now_ms) / decay_ms);
  return typical_ms + (load.response_ms - typical_ms) * remaining_weight;
}

std::optional<GossipMessage> LoadEstimator::gossip_due(double now_ms) {
  if (!is_gossip_enabled_ || now_ms < next_gossip_at_ms_) return {};
  double interval_share = min_gossip_interval_share + gossip_interval_spread_share * random_.uniform();
  next_gossip_at_ms_ = now_ms + gossip_interval_ms * interval_share;
  auto fresh = freshest_reported_endpoints(now_ms);
  if (fresh.empty()) return {};
  GossipMessage message;
  for (EndpointIndex index : fresh)
    message.content.endpoints.push_back(make_endpoint_report(endpoints_[index], now_ms));
  int other_index = static_cast<int>(random_.uniform() * (settings_.replicas - 1));
  message.to = other_index + (other_index >= settings_.replica_index ? 1 : 0);
  return message;
}

// Returns the endpoints with a report fresh enough to send, the latest first, as many as fit into a message.
std::vector<EndpointIndex> LoadEstimator::freshest_reported_endpoints(double now_ms) const {
  std::vector<EndpointIndex> fresh;
  for (EndpointIndex index : endpoints_.listed()) {
    const auto& endpoint = endpoints_[index];
    double age_ms = now_ms - endpoint.load.reported_at_ms;
    if (age_ms < OutlierDetector::report_lifetime_ms(endpoint, report_decay_ms)) fresh.push_back(index);
  }
  auto is_later = [this](EndpointIndex a, EndpointIndex b) {
    return endpoints_[a].load.reported_at_ms > endpoints_[b].load.reported_at_ms;
  };
  std::sort(fresh.begin(), fresh.end(), is_later);
  fresh.resize(std::min(fresh.size(), max_gossip_endpoints));
  return fresh;
}

// Ignores reports that are not later than the known one or than the start of the endpoint's process, and
// reports on endpoints that are not in the list: no request is sent to an endpoint that only gossip names.
void LoadEstimator::gossip_received(const std::vector<EndpointReport>& reports, double now_ms) {
  for (const auto& report : reports) {
    auto has_id = [&](EndpointIndex index) { return endpoints_[index].id == report.id; };
    auto it = std::find_if(endpoints_.listed().begin(), endpoints_.listed().end(), has_id);
    if (it == endpoints_.listed().end()) continue;
    auto& endpoint = endpoints_[*it];
    double reported_at_ms = now_ms - report.age_ms;
    if (reported_at_ms <= endpoint.load.reported_at_ms || reported_at_ms <= endpoint.up_since_ms) continue;
    endpoint.load.reported_at_ms = reported_at_ms;
    endpoint.outlier.failure_share = report.failure_share;
    endpoint.load.response_ms = report.response_ms;
    // A balancer that rejects all requests since its start learns the typical response from gossip only.
    if (report.response_ms > 0) update_typical_response(endpoint, reported_at_ms, now_ms);
  }
}

}  // namespace meadowgauge
