// The outlier detector: which endpoints fail, are silent or are slower than their peers.
#pragma once

#include <string>
#include <vector>

#include "policy/endpoint.hpp"
#include "policy/random.hpp"
#include "policy/request_class.hpp"

namespace meadowgauge {

class OutlierDetector {
 public:
  // All arguments have to outlive it.
  OutlierDetector(EndpointTable& endpoints, Random& random, std::vector<std::string>& log_lines)
      : endpoints_(endpoints), random_(random), log_lines_(log_lines) {}

  // An attempt there has ended. May eject the endpoint.
  void record_outcome(EndpointIndex index, bool failed, double now_ms);
  // A success has taken so long.
  void record_duration(double took_ms, double now_ms);
  // The same, to be compared with what the endpoint's peers take for that class.
  void record_relative_latency(Endpoint& endpoint, RequestClass& request_class, double took_ms);
  // The same outcomes for the report that others get; `overloaded`: a failure is no sign of a fault.
  void record_for_report(Endpoint& endpoint, bool failed, bool overloaded, double now_ms) const;
  // There are server kinds up to this one.
  void add_server_kind(int kind) {
    if (kind >= static_cast<int>(kind_slowness_.size()))
      kind_slowness_.resize(static_cast<std::size_t>(kind) + 1);
  }

  [[nodiscard]] static bool ejected(const Endpoint& endpoint, double now_ms) {
    return endpoint.outlier.on_trial && endpoint.outlier.ejected_until_ms > now_ms;
  }
  // Nothing has been heard of it for long, while something is in flight and others answer.
  [[nodiscard]] bool unresponsive(const Endpoint& endpoint, double now_ms) const;
  // It may be picked: neither of both, nor a trial that is under way, nor reported to fail.
  [[nodiscard]] bool is_healthy(const Endpoint& endpoint, double now_ms) const;
  // What is left of its weight, 1 for one as fast as its peers.
  [[nodiscard]] double speed_factor(const Endpoint& endpoint) const;
  // The time that only few answers take longer than; 0: not known.
  [[nodiscard]] double p95_latency_ms() const { return p95_latency_ms_; }
  // How old a report on it may be to be passed on.
  [[nodiscard]] double report_lasts_ms(const Endpoint& endpoint, double normally_ms) const;

  // For a successor: until when it is to leave the endpoint alone; 0: it is not ejected or silent.
  [[nodiscard]] double ejected_for_successor(const Endpoint& endpoint, double now_ms) const;
  void restore_ejection(Endpoint& endpoint, double until, double now_ms) const;
  void restore_p95_latency_ms(double p95_latency_ms) { p95_latency_ms_ = p95_latency_ms; }

 private:
  static void decay(Endpoint& endpoint, double now_ms);
  [[nodiscard]] double peers_failure_share(EndpointIndex index, double now_ms);
  void eject(Endpoint& endpoint, double now_ms);
  [[nodiscard]] static double failure_share(const Endpoint& endpoint, double now_ms);

  EndpointTable& endpoints_;
  Random& random_;
  std::vector<std::string>& log_lines_;
  std::vector<double> kind_slowness_ = {0};  // by server kind: mean log excess
  double last_answer_at_ms_ = -never;
  double p95_latency_ms_ = 0;
};

}  // namespace meadowgauge
