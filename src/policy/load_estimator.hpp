// What is known of the work that waits at each endpoint, from probes, load reports and gossip, and how old it
// is. Design: docs/design.md, "Load reports" and "One of many".
#pragma once

#include <cmath>
#include <optional>
#include <vector>

#include "policy/endpoint.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/policy_settings.hpp"
#include "policy/random.hpp"

namespace meadowgauge {

// The finite, non-negative value in that column of a report; nothing where there is none.
inline std::optional<double> value_at(const LoadReport& report, int column) {
  if (column < 0 || column >= report.count) return {};
  double value = report.values[static_cast<std::size_t>(column)];
  if (!(value >= 0) || !std::isfinite(value)) return {};
  return value;
}

// Three sources, by what the deployment allows:
//
//  probes        Before an attempt a few endpoints are asked how many requests they hold; the prediction is
//                f * (held * mean work + own work) / capacity fraction, f corrected by actual latencies.
//  load reports  Responses carry the queue depth; the expected latency is depth^1.5 * mean work.
//  gossip        Other balancers pass on their latest load reports.
//
// A report's weight decays exponentially with its age towards the typical (median) response of all endpoints.
class LoadEstimator {
 public:
  // All arguments must outlive the estimator.
  LoadEstimator(const PolicySettings& settings, EndpointTable& endpoints, const OutlierDetector& outliers,
                Random& random, double now_ms)
      : settings_(settings),
        endpoints_(endpoints),
        outliers_(outliers),
        random_(random),
        has_gossip_(uses_load_reports() && settings.peer_messages && settings.replicas > 1),
        gossip_at_ms_(has_gossip_ ? now_ms + first_gossip_in_ms() : never),
        mean_probe_ms_(settings.wire_tick_ms) {}

  // Whether load is known from probes alone; whether responses report queue depths.
  [[nodiscard]] bool uses_probes() const { return settings_.probe_column >= 0; }
  [[nodiscard]] bool uses_load_reports() const { return settings_.depth_column >= 0; }

  // Adds the probes for the request's next attempt to `decision`, once per attempt. Returns whether it added
  // any; the decision is then to wait for them.
  bool request_probes(Request& request, Decision& decision, double now_ms);
  // How long a request waits for its probes.
  [[nodiscard]] double probe_wait_ms() const;
  void probe_ended(EndpointIndex index, Outcome outcome, double took_ms, const LoadReport& report,
                   double now_ms);
  // Whether the endpoint's last probe is recent enough to be used.
  [[nodiscard]] bool has_fresh_probe(const Endpoint& endpoint, double now_ms) const;
  // Predicted latency by the last probe. `capacity_fraction` is that of a warming endpoint, 0 to 1.
  [[nodiscard]] double predicted_ms(const Request& request, const Endpoint& endpoint,
                                    double capacity_fraction) const;

  // A request has arrived with a hint of its work; 0: none.
  void record_hint(double work_ms);
  // A sent attempt has ended. Takes its load report.
  void record_attempt(Endpoint& endpoint, const Attempt& attempt, const LoadReport& report, double now_ms);
  // An attempt has succeeded after `took_ms`. Corrects the predictions.
  void record_duration(const Attempt& attempt, double took_ms);
  // Makes room for a server kind. To be called before record_attempt() with one of its endpoints.
  void add_server_kind(int kind) {
    if (kind >= static_cast<int>(server_kind_latency_.size()))
      server_kind_latency_.resize(static_cast<std::size_t>(kind) + 1);
  }

  // Expected latency at the endpoint by its latest report, for the pick; for admission, where a report loses
  // its weight sooner.
  [[nodiscard]] double response_ms(const Endpoint& endpoint, double now_ms) const;
  [[nodiscard]] double queue_ms(const Endpoint& endpoint, double now_ms) const;
  // Estimated median of the reported latencies of all endpoints; 0: not known.
  [[nodiscard]] double typical_response_ms() const { return typical_response_ms_; }
  // Latency of a server kind over that of all kinds.
  [[nodiscard]] double server_kind_latency_ratio(int kind) const {
    return server_kind_latency_[static_cast<std::size_t>(kind)].ratio;
  }
  // Utilization of its endpoint that a response reports, 0 to 1; nothing where it reports none.
  [[nodiscard]] std::optional<double> utilization(const LoadReport& report) const {
    return value_at(report, settings_.utilization_column);
  }

  // The message for another balancer, where one is due now; its key shares are left to the caller.
  std::optional<GossipMessage> gossip_due(double now_ms);
  void gossip_received(const std::vector<EndpointReport>& reports, double now_ms);

 private:
  struct ServerKindLatency {
    double ratio = 1;
    int samples = 0;
  };
  [[nodiscard]] double first_gossip_in_ms();
  bool record_overload(Endpoint& endpoint, const Attempt& attempt, double now_ms) const;
  void record_depth(Endpoint& endpoint, const Attempt& attempt, const LoadReport& report, double now_ms);
  void update_typical_response(const Endpoint& endpoint, double reported_at_ms, double now_ms);
  [[nodiscard]] double typical_ms_of(const Endpoint& endpoint, double now_ms) const;
  [[nodiscard]] double decayed_ms(const Endpoint& endpoint, double now_ms, double decay_ms) const;
  [[nodiscard]] std::vector<EndpointIndex> freshest_reports(double now_ms) const;

  const PolicySettings& settings_;
  EndpointTable& endpoints_;
  const OutlierDetector& outliers_;
  Random& random_;
  bool has_gossip_;
  double gossip_at_ms_;
  double mean_probe_ms_;              // mean time that a probe takes
  double prediction_multiplier_ = 1;  // actual over predicted latency
  double mean_work_ms_ = 0;           // of one request, without waiting; 0: not known
  int work_samples_ = 0;
  double typical_response_ms_ = 0;
  double typical_reported_at_ms_ = 0;
  std::vector<ServerKindLatency> server_kind_latency_ = {{}};  // by server kind
};

}  // namespace meadowgauge
