// Outlier detection: which endpoints fail, are unresponsive or are slower than their peers. Design:
// docs/design.md, "Changed, and when each exception acts" (ejection, half-open trial, silence, slowness by
// server kind).
#pragma once

#include <vector>

#include "policy/endpoint.hpp"
#include "policy/policy_event.hpp"
#include "policy/random.hpp"
#include "policy/request_class.hpp"

namespace meadowgauge {

// Whether an endpoint takes part in the picks.
enum class EjectionState : std::uint8_t {
  healthy,
  ejected,   // not picked until the ejection's time is over, unless the panic threshold ignores health
  half_open  // one attempt at a time goes there until one succeeds
};

// Ejects an endpoint when
//
//   failures / outcomes > 0.12 + 1.5 * peers' failure share
//
// over outcomes that decay in five seconds; a failed trial ejects again at once. The ejection lasts 1 s,
// doubled for each relapse up to 8 s, spread by 20% either way so that balancers do not all try it together.
//
//   healthy -> ejected (threshold) -> half_open (time over) -> healthy (success) or ejected (failure)
//
// A success of an earlier attempt ends an ejection before its time. A new process at the endpoint, or the end
// of a manual drain, starts it as healthy.
//
// An endpoint is unresponsive when it has requests in flight, others have answered meanwhile, and nothing was
// received from it for a multiple of the 95th percentile of the latencies: 1 + 3 / in flight. The more
// requests it leaves unanswered, the less time is needed to rule out chance.
class OutlierDetector {
 public:
  // All arguments must outlive the detector.
  OutlierDetector(EndpointTable& endpoints, Random& random, std::vector<PolicyEvent>& events)
      : endpoints_(endpoints), random_(random), events_(events) {}

  // An attempt there has ended. May eject the endpoint.
  void record_outcome(EndpointIndex index, bool failed, double now_ms);
  // An attempt has succeeded after `took_ms`, at any endpoint. Moves the 95th percentile.
  void record_duration(double took_ms, double now_ms);
  // The same at this endpoint, to be compared with what its peers take for the class.
  void record_relative_latency(Endpoint& endpoint, RequestClass& request_class, double took_ms);
  // An outcome for the report that other balancers get. A failure of an `overloaded` endpoint is no fault.
  static void record_for_report(Endpoint& endpoint, bool failed, bool overloaded, double now_ms);
  // Makes room for a server kind. To be called before record_relative_latency() with one of its endpoints.
  void add_server_kind(int kind) {
    if (kind >= static_cast<int>(server_kind_excess_.size()))
      server_kind_excess_.resize(static_cast<std::size_t>(kind) + 1);
  }

  [[nodiscard]] static EjectionState state(const Endpoint& endpoint, double now_ms);
  [[nodiscard]] static bool ejected(const Endpoint& endpoint, double now_ms) {
    return state(endpoint, now_ms) == EjectionState::ejected;
  }
  [[nodiscard]] bool unresponsive(const Endpoint& endpoint, double now_ms) const;
  // Whether it may be picked: not ejected, not unresponsive, no trial under way, not reported to fail.
  [[nodiscard]] bool is_healthy(const Endpoint& endpoint, double now_ms) const;
  // Factor of the endpoint's weight in the draws; 1 for one as fast as its peers, less for a slower one.
  [[nodiscard]] double speed_factor(const Endpoint& endpoint) const;
  // 95th percentile of the latencies; 0: not known.
  [[nodiscard]] double p95_latency_ms() const { return p95_latency_ms_; }
  // Age up to which a load report on the endpoint is passed on: `normally_ms`, or longer for a failing
  // endpoint.
  [[nodiscard]] static double report_lasts_ms(const Endpoint& endpoint, double normally_ms);

  // Until when a successor process should leave the endpoint alone; 0: it is neither ejected nor
  // unresponsive.
  [[nodiscard]] double ejected_for_successor(const Endpoint& endpoint, double now_ms) const;
  static void restore_ejection(Endpoint& endpoint, double until_ms, double now_ms);
  void restore_p95_latency_ms(double p95_latency_ms) { p95_latency_ms_ = p95_latency_ms; }

 private:
  static void decay(Endpoint& endpoint, double now_ms);
  [[nodiscard]] double peers_failure_share(EndpointIndex index, double now_ms);
  static void record_success(OutlierState& outlier, double now_ms);
  void record_failure(EndpointIndex index, double now_ms);
  void eject(EndpointIndex index, double failure_share, double peers_failure_share, double now_ms);
  [[nodiscard]] static double reported_failure_share(const Endpoint& endpoint, double now_ms);

  EndpointTable& endpoints_;
  Random& random_;
  std::vector<PolicyEvent>& events_;
  std::vector<double> server_kind_excess_ = {0};  // by server kind: mean log latency excess
  double last_answer_at_ms_ = -never;
  double p95_latency_ms_ = 0;
};

}  // namespace meadowgauge
