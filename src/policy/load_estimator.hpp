// Estimates the load and the latency of each endpoint from probes, load reports and gossip. Design:
// docs/design.md, "Load reports" and "One of many".
#pragma once

#include <cmath>
#include <optional>
#include <vector>

#include "policy/endpoint.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/policy_settings.hpp"
#include "policy/random.hpp"

namespace meadowgauge {

// The value in the column of a report; nullopt if the column is missing or its value is negative or not
// finite.
inline std::optional<double> column_value(const LoadReport& report, int column) {
  if (column < 0 || column >= report.count) return {};
  double value = report.values[static_cast<std::size_t>(column)];
  if (!(value >= 0) || !std::isfinite(value)) return {};
  return value;
}

// Uses up to three sources, depending on the deployment:
//
//  probes        Before an attempt, up to five endpoints are asked for their number of requests in flight.
//                predicted latency = f * (in flight * mean work + work of the request) / capacity fraction,
//                where f is corrected by actual latencies.
//  load reports  Responses carry the queue depth. expected latency = depth^1.5 * mean work.
//  gossip        Other balancers send their latest load reports.
//
// With the age of a report, the expected latency of its endpoint decays exponentially towards the typical
// (median) response time of all endpoints.
class LoadEstimator {
 public:
  // All arguments must outlive the estimator.
  LoadEstimator(const PolicySettings& settings, EndpointTable& endpoints, const OutlierDetector& outliers,
                Random& random, double now_ms)
      : settings_(settings),
        endpoints_(endpoints),
        outliers_(outliers),
        random_(random),
        is_gossip_enabled_(uses_load_reports() && settings.gossip_enabled && settings.replicas > 1),
        next_gossip_at_ms_(is_gossip_enabled_ ? now_ms + draw_first_gossip_delay_ms() : never),
        mean_probe_ms_(settings.wire_tick_ms) {}

  // Whether the load is known from probes only.
  [[nodiscard]] bool uses_probes() const { return settings_.probe_column >= 0; }
  // Whether responses report queue depths.
  [[nodiscard]] bool uses_load_reports() const { return settings_.depth_column >= 0; }

  // Adds probes for the request's next attempt to `decision`, at most once per attempt. If any were added,
  // sets the decision to `wait` and returns true.
  bool request_probes(Request& request, Decision& decision, double now_ms);
  // Time in ms for which a request waits for its probes.
  [[nodiscard]] double probe_wait_ms() const;
  // Records the result of a probe. The probed load is unknown unless the probe has succeeded and reported it.
  void probe_ended(EndpointIndex index, Outcome outcome, double took_ms, const LoadReport& report,
                   double now_ms);
  // Whether the endpoint's last probe is recent enough to be used.
  [[nodiscard]] bool has_fresh_probe(const Endpoint& endpoint, double now_ms) const;
  // Latency in ms predicted from the last probe. `capacity_fraction`: 0 to 1, below 1 during slow start.
  [[nodiscard]] double predicted_ms(const Request& request, const Endpoint& endpoint,
                                    double capacity_fraction) const;

  // Records an arriving request's hint of its work in ms; 0: no hint.
  void record_hint(double work_ms);
  // Records the end of an attempt that was sent, with its load report.
  void record_attempt(Endpoint& endpoint, const Attempt& attempt, const LoadReport& report, double now_ms);
  // Records the latency of a successful attempt, which corrects the predictions.
  void record_duration(const Attempt& attempt, double took_ms);
  // Adds a server kind. Must be called before record_attempt() with an endpoint of this kind.
  void add_server_kind(int kind) {
    if (kind >= static_cast<int>(server_kind_latency_.size()))
      server_kind_latency_.resize(static_cast<std::size_t>(kind) + 1);
  }

  // Expected latency at the endpoint by its latest report, for picking an endpoint.
  [[nodiscard]] double response_ms(const Endpoint& endpoint, double now_ms) const;
  // The same for admission, where a report loses its weight sooner.
  [[nodiscard]] double queue_ms(const Endpoint& endpoint, double now_ms) const;
  // Estimated median of the reported latencies of all endpoints; 0: unknown.
  [[nodiscard]] double typical_response_ms() const { return typical_response_ms_; }
  // Mean latency of a server kind / mean latency of all kinds.
  [[nodiscard]] double server_kind_latency_ratio(int kind) const {
    return server_kind_latency_[static_cast<std::size_t>(kind)].ratio;
  }
  // Utilization, 0 to 1, that a load report contains of its endpoint; nullopt if it contains none.
  [[nodiscard]] std::optional<double> utilization(const LoadReport& report) const {
    return column_value(report, settings_.utilization_column);
  }

  // Returns the gossip message for another balancer if one is due. The caller adds the key shares.
  std::optional<GossipMessage> gossip_due(double now_ms);
  // Applies the reports of another balancer that are later than those known.
  void gossip_received(const std::vector<EndpointReport>& reports, double now_ms);

 private:
  struct ServerKindLatency {
    double ratio = 1;
    int samples = 0;
  };
  [[nodiscard]] double draw_first_gossip_delay_ms();
  bool record_overload(Endpoint& endpoint, const Attempt& attempt, double now_ms) const;
  void record_depth(Endpoint& endpoint, const Attempt& attempt, const LoadReport& report, double now_ms);
  void update_typical_response(const Endpoint& endpoint, double reported_at_ms, double now_ms);
  [[nodiscard]] double typical_ms_for(const Endpoint& endpoint, double now_ms) const;
  [[nodiscard]] double decayed_ms(const Endpoint& endpoint, double now_ms, double decay_ms) const;
  [[nodiscard]] std::vector<EndpointIndex> freshest_reported_endpoints(double now_ms) const;

  const PolicySettings& settings_;
  EndpointTable& endpoints_;
  const OutlierDetector& outliers_;
  Random& random_;
  bool is_gossip_enabled_;
  double next_gossip_at_ms_;
  double mean_probe_ms_;              // mean duration of a probe
  double prediction_multiplier_ = 1;  // actual / predicted latency
  double mean_work_ms_ = 0;           // of one request, without queueing; 0: unknown
  int work_samples_ = 0;
  double typical_response_ms_ = 0;
  double typical_reported_at_ms_ = 0;
  std::vector<ServerKindLatency> server_kind_latency_ = {{}};  // by server kind
};

}  // namespace meadowgauge
