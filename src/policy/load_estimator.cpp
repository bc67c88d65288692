#include "policy/load_estimator.hpp"

#include <algorithm>
#include <cmath>

#include "policy/moving_average.hpp"

namespace meadowgauge {

// Where only probes tell what a server holds, each request has a few probed before it goes.
constexpr int probes_each = 5, draws_per_probe = 3;  // drawn, of servers that may not be probed after all
constexpr double probe_waits = 2, probe_holds = 5;   // times a probe's usual time: for it; its result is used
constexpr double prediction_gain = 0.02, least_factor = 0.5, most_factor = 2;

constexpr double hint_gain = 0.02, work_gain = 0.02, kind_gain = 0.01;
constexpr double usual_step = 0.04;    // of the logarithm of the usual time: it follows the median
constexpr double rejection_times = 4;  // the usual time, at a server that rejects

constexpr double report_decay_ms = 3000;  // a report on how long a server takes
constexpr double queue_decay_ms = 1000;   // the same, where it turns requests away: a queue is gone sooner
constexpr double usual_decay_ms = 500;    // and on what is usual, with no report at all

constexpr double gossip_every_ms = 400, gossip_soonest = 0.8, gossip_spread = 0.4;  // the latter of that

double LoadEstimator::first_gossip_in_ms() { return random_.uniform() * gossip_every_ms; }

// Any that may get the request, drawn anew for each.
bool LoadEstimator::request_probes(Request& request, Decision& decision, double now_ms) {
  const auto& listed = endpoints_.listed;
  if (!uses_probes() || request.probes_requested_for_attempt > request.attempt_count || listed.empty())
    return false;
  if (now_ms + 2 * probe_wait_ms() >= request.deadline_ms) return false;
  request.probes_requested_for_attempt = request.attempt_count + 1;
  for (int n = 0; n < draws_per_probe * probes_each && decision.probe_count < probes_each; ++n) {
    EndpointIndex i = listed[random_.below(listed.size())];
    auto end = decision.probes.begin() + decision.probe_count;
    bool chosen = std::find(decision.probes.begin(), end, i) != end;
    const auto& endpoint = endpoints_[i];
    if (!endpoint.is_available() || !outliers_.is_healthy(endpoint, now_ms) || has_tried(request, i) ||
        chosen)
      continue;
    decision.probes[static_cast<std::size_t>(decision.probe_count++)] = i;
  }
  if (decision.probe_count > 0) decision.kind = Decision::wait;
  return decision.probe_count > 0;
}

double LoadEstimator::probe_wait_ms() const { return settings_.wire_tick_ms + probe_waits * probe_took_ms_; }

void LoadEstimator::probe_ended(EndpointIndex index, Outcome outcome, double took_ms,
                                const LoadReport& report, double now_ms) {
  if (!uses_probes() || !endpoints_.knows(index)) return;
  auto column = static_cast<std::size_t>(settings_.probe_column);
  bool known =
      outcome == Outcome::succeeded && settings_.probe_column < report.count && report.values[column] >= 0;
  endpoints_[index].load.probed_load = known ? report.values[column] : never;
  endpoints_[index].load.probed_at_ms = now_ms;
  if (known) probe_took_ms_ += prediction_gain * (took_ms - probe_took_ms_);
}

bool LoadEstimator::has_fresh_probe(const Endpoint& endpoint, double now_ms) const {
  return uses_probes() &&
         now_ms - endpoint.load.probed_at_ms <= 2 * settings_.wire_tick_ms + probe_holds * probe_took_ms_;
}

double LoadEstimator::predicted_ms(const Request& request, const Endpoint& endpoint,
                                   double capacity_fraction) const {
  double own_work_ms = request.work_ms > 0 ? request.work_ms : mean_work_ms_;
  return prediction_factor_ * (endpoint.load.probed_load * mean_work_ms_ + own_work_ms) / capacity_fraction;
}

void LoadEstimator::record_hint(double work_ms) {
  if (work_ms > 0) blend(mean_work_ms_, work_ms, hint_gain);
}

// The latest report on a server is the one that counts, whoever it is from: nothing adds up, so that nothing
// that comes round is counted twice.
void LoadEstimator::record_attempt(Endpoint& endpoint, const Attempt& attempt, const LoadReport& report,
                                   double now_ms) {
  if (!uses_load_reports()) return;
  bool succeeded = attempt.outcome == Outcome::succeeded;
  auto& load = endpoint.load;
  if (succeeded && settings_.depth_column < report.count) record_depth(endpoint, attempt, report, now_ms);
  // One that was known to take long is overloaded, not at fault: its keys would wander and cost all the more.
  bool overloaded = attempt.outcome == Outcome::rejected;
  if (overloaded) load.response_ms = std::max(load.response_ms, rejection_times * typical_response_ms_);
  if (attempt.outcome == Outcome::timeout) {
    double took = now_ms - attempt.sent_at_ms, known = response_ms(endpoint, now_ms);
    overloaded = 2 * known > took;
    load.response_ms = std::max(known, took);
  }
  outliers_.record_for_report(endpoint, !succeeded, overloaded, now_ms);
  load.reported_at_ms = now_ms;
}

// The time that is told has waiting in it, and foretold little; what waits did.
void LoadEstimator::record_depth(Endpoint& endpoint, const Attempt& attempt, const LoadReport& report,
                                 double now_ms) {
  double ahead = std::max(0.0f, report.values[static_cast<std::size_t>(settings_.depth_column)]) + 1;
  double work_ms = std::max(1.0, now_ms - attempt.sent_at_ms) / ahead;
  blend(mean_work_ms_, work_ms, std::max(work_gain, 1.0 / ++work_samples_));
  double response_ms = ahead * std::sqrt(ahead) * mean_work_ms_;
  if (!std::isfinite(response_ms)) return;
  endpoint.load.response_ms = response_ms;
  update_typical_response(endpoint, now_ms, now_ms);
  auto& kind = server_kind_latency_[static_cast<std::size_t>(endpoint.server_kind)];
  kind.value +=
      std::max(kind_gain, 1.0 / ++kind.samples) * (work_ms / std::max(1.0, mean_work_ms_) - kind.value);
}

void LoadEstimator::update_typical_response(const Endpoint& endpoint, double reported_at_ms, double now_ms) {
  if (now_ms - reported_at_ms > report_decay_ms) return;
  typical_reported_at_ms_ = std::max(typical_reported_at_ms_, reported_at_ms);
  double response_ms = endpoint.load.response_ms * endpoint.weight / endpoints_.mean_weight;
  double step = std::exp(response_ms > typical_response_ms_ ? usual_step : -usual_step);
  typical_response_ms_ = typical_response_ms_ == 0 ? response_ms : typical_response_ms_ * step;
}

void LoadEstimator::record_duration(const Attempt& attempt, double took_ms) {
  if (mean_work_ms_ == 0) mean_work_ms_ = took_ms;
  if (attempt.expected_ms <= 0) return;
  double factor = prediction_factor_ * (1 + prediction_gain * (took_ms / attempt.expected_ms - 1));
  prediction_factor_ = std::clamp(factor, least_factor, most_factor);
}

double LoadEstimator::response_ms(const Endpoint& e, double now_ms) const {
  return decayed_ms(e, now_ms, report_decay_ms);
}

double LoadEstimator::queue_ms(const Endpoint& e, double now_ms) const {
  return decayed_ms(e, now_ms, queue_decay_ms);
}

double LoadEstimator::decayed_ms(const Endpoint& endpoint, double now_ms, double decay_ms) const {
  // Where all turn requests away no report comes, and the last ones told of an overload long gone.
  double usual_left = std::exp((typical_reported_at_ms_ - now_ms) / usual_decay_ms);
  double usual = mean_work_ms_ + (typical_response_ms_ - mean_work_ms_) * usual_left;
  usual = std::max(1.0, usual * endpoints_.mean_weight / endpoint.weight);
  const auto& load = endpoint.load;
  if (!(load.response_ms > 0)) return usual;
  return usual + (load.response_ms - usual) * std::exp((load.reported_at_ms - now_ms) / decay_ms);
}

std::optional<GossipMessage> LoadEstimator::gossip_due(double now_ms) {
  if (!gossips_ || now_ms < gossip_at_ms_) return {};
  gossip_at_ms_ = now_ms + gossip_every_ms * (gossip_soonest + gossip_spread * random_.uniform());
  std::vector<EndpointIndex> fresh;
  for (EndpointIndex i : endpoints_.listed)
    if (now_ms - endpoints_[i].load.reported_at_ms <
        outliers_.report_lasts_ms(endpoints_[i], report_decay_ms))
      fresh.push_back(i);
  if (fresh.empty()) return {};
  auto at = [this](EndpointIndex i) { return endpoints_[i].load.reported_at_ms; };
  std::sort(fresh.begin(), fresh.end(), [&](EndpointIndex a, EndpointIndex b) { return at(a) > at(b); });
  fresh.resize(std::min(fresh.size(), max_gossip_endpoints));
  GossipMessage message;
  for (EndpointIndex i : fresh) message.content.endpoints.push_back(report_on(endpoints_[i], now_ms));
  int other = static_cast<int>(random_.uniform() * (settings_.replicas - 1));
  message.to = other + (other >= settings_.own_number);
  return message;
}

// Of a server that is not in the own list nothing is kept: hearsay lets nobody send.
void LoadEstimator::gossip_received(const std::vector<EndpointReport>& reports, double now_ms) {
  for (const auto& report : reports) {
    auto is_meant = [&](EndpointIndex i) { return endpoints_[i].id == report.id; };
    auto it = std::find_if(endpoints_.listed.begin(), endpoints_.listed.end(), is_meant);
    if (it == endpoints_.listed.end()) continue;
    auto& endpoint = endpoints_[*it];
    double reported_at_ms = now_ms - report.age_ms;
    if (reported_at_ms <= endpoint.load.reported_at_ms || reported_at_ms <= endpoint.up_since_ms) continue;
    endpoint.load.reported_at_ms = reported_at_ms;
    endpoint.outlier.failure_share = report.failure_share;
    endpoint.load.response_ms = report.response_ms;
    // From others too: one that turned all away for what it had met at the start learned nothing else.
    if (report.response_ms > 0) update_typical_response(endpoint, reported_at_ms, now_ms);
  }
}

}  // namespace meadowgauge
