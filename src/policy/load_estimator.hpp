// The load estimator: what is known of the work that waits at each endpoint, from load reports, probes and
// gossip, and how old that is.
#pragma once

#include <cmath>
#include <optional>
#include <vector>

#include "policy/endpoint.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/policy_settings.hpp"
#include "policy/random.hpp"

namespace meadowgauge {

// What stands in that column; nothing where there is none or it makes no sense.
inline std::optional<double> value_at(const LoadReport& report, int column) {
  if (column < 0 || column >= report.count) return {};
  double value = report.values[static_cast<std::size_t>(column)];
  if (!(value >= 0) || !std::isfinite(value)) return {};
  return value;
}

class LoadEstimator {
 public:
  // All arguments have to outlive it.
  LoadEstimator(const PolicySettings& settings, EndpointTable& endpoints, const OutlierDetector& outliers,
                Random& random, double now_ms)
      : settings_(settings),
        endpoints_(endpoints),
        outliers_(outliers),
        random_(random),
        gossips_(uses_load_reports() && settings.peer_messages && settings.replicas > 1),
        gossip_at_ms_(gossips_ ? now_ms + first_gossip_in_ms() : never),
        probe_took_ms_(settings.wire_tick_ms) {}

  // Whether only probes tell what an endpoint holds; whether responses tell what waits there.
  [[nodiscard]] bool uses_probes() const { return settings_.probe_column >= 0; }
  [[nodiscard]] bool uses_load_reports() const { return settings_.depth_column >= 0; }

  // Probes. ask_probes(): for the request's next attempt, once; true: some were asked for, and the decision
  // is to wait for them.
  bool request_probes(Request& request, Decision& decision, double now_ms);
  [[nodiscard]] double probe_wait_ms() const;
  void probe_ended(EndpointIndex index, Outcome outcome, double took_ms, const LoadReport& report,
                   double now_ms);
  [[nodiscard]] bool has_fresh_probe(const Endpoint& endpoint, double now_ms) const;
  // How long a request is thought to take, by the last probe; `speed`: the endpoint's part of its full work.
  [[nodiscard]] double predicted_ms(const Request& request, const Endpoint& endpoint,
                                    double capacity_fraction) const;

  // A request has come with a hint of what it costs.
  void record_hint(double work_ms);
  // An attempt that was sent has ended, whatever came of it.
  void record_attempt(Endpoint& endpoint, const Attempt& attempt, const LoadReport& report, double now_ms);
  // A success has taken so long.
  void record_duration(const Attempt& attempt, double took_ms);
  // There are server kinds up to this one.
  void add_server_kind(int kind) {
    if (kind >= static_cast<int>(server_kind_latency_.size()))
      server_kind_latency_.resize(static_cast<std::size_t>(kind) + 1);
  }

  // How long a request takes there, by the latest report, less of that as it grows old; the second loses it
  // sooner.
  [[nodiscard]] double response_ms(const Endpoint& e, double now_ms) const;
  [[nodiscard]] double queue_ms(const Endpoint& e, double now_ms) const;
  [[nodiscard]] double typical_response_ms() const { return typical_response_ms_; }
  // A kind's time for a request over that of all kinds.
  [[nodiscard]] double server_kind_latency_ratio(int kind) const {
    return server_kind_latency_[static_cast<std::size_t>(kind)].value;
  }
  // How busy the endpoint of a success says it is, 0 to 1.
  [[nodiscard]] std::optional<double> utilization(const LoadReport& report) const {
    return value_at(report, settings_.utilization_column);
  }

  // What is to be told to another balancer now, without keys.
  std::optional<GossipMessage> gossip_due(double now_ms);
  void gossip_received(const std::vector<EndpointReport>& reports, double now_ms);

 private:
  struct ServerKindLatency {
    double value = 1;
    int samples = 0;
  };
  [[nodiscard]] double first_gossip_in_ms();
  void record_depth(Endpoint& endpoint, const Attempt& attempt, const LoadReport& report, double now_ms);
  void update_typical_response(const Endpoint& endpoint, double reported_at_ms, double now_ms);
  [[nodiscard]] double decayed_ms(const Endpoint& endpoint, double now_ms, double decay_ms) const;

  const PolicySettings& settings_;
  EndpointTable& endpoints_;
  const OutlierDetector& outliers_;
  Random& random_;
  bool gossips_;
  double gossip_at_ms_;
  double probe_took_ms_;
  double prediction_factor_ = 1;  // real over predicted durations
  double mean_work_ms_ = 0;       // 0: not known
  int work_samples_ = 0;
  double typical_response_ms_ = 0, typical_reported_at_ms_ = 0;
  std::vector<ServerKindLatency> server_kind_latency_ = {{}};  // by server kind
};

}  // namespace meadowgauge
