// Outlier detection: finds endpoints that fail, are unresponsive or are slower than their peers. Design:
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
  ejected,   // not picked until the ejection expires, unless the panic threshold ignores health
  half_open  // gets one attempt at a time until one succeeds
};

// Ejects an endpoint when
//
//   failures / outcomes > 0.12 + 1.5 * peers' failure share
//
// where outcomes decay with a time constant of 5 s. A failed trial ejects the endpoint again at once. An
// ejection lasts 1 s, doubled for each relapse up to 8 s, with a jitter of 20% either way so that balancers
// do not all try the endpoint at the same time.
//
//   healthy -> ejected (threshold) -> half_open (expired) -> healthy (success) or ejected (failure)
//
// The success of an attempt sent before the ejection ends the ejection early. A new process at the endpoint,
// or the end of a manual drain, resets the endpoint to healthy.
//
// An endpoint is unresponsive when it has requests in flight, other endpoints have answered meanwhile, and
// nothing was received from it for longer than
//
//   (1 + 3 / requests in flight) * 95th percentile of the latencies, at least 400 ms
//
// The more requests an endpoint leaves unanswered, the shorter the silence that cannot be due to chance.
class OutlierDetector {
 public:
  // All arguments must outlive the detector.
  OutlierDetector(EndpointTable& endpoints, Random& random, std::vector<PolicyEvent>& events)
      : endpoints_(endpoints), random_(random), events_(events) {}

  // Records the outcome of an attempt at the endpoint. May eject the endpoint.
  void record_outcome(EndpointIndex index, bool failed, double now_ms);
  // Records the latency of a successful attempt at any endpoint, for the 95th percentile.
  void record_duration(double took_ms, double now_ms);
  // Records the latency of a successful attempt at this endpoint, relative to the mean of its request class.
  void record_relative_latency(Endpoint& endpoint, RequestClass& request_class, double took_ms);
  // Records an outcome for the report to other balancers. An outcome of an `overloaded` endpoint does not
  // count: failing under overload is not a fault of the endpoint.
  static void record_for_report(Endpoint& endpoint, bool failed, bool overloaded, double now_ms);
  // Adds state for a server kind. Call it before record_relative_latency() for an endpoint of that kind.
  void add_server_kind(int kind) {
    if (kind >= static_cast<int>(server_kind_excess_.size()))
      server_kind_excess_.resize(static_cast<std::size_t>(kind) + 1);
  }

  [[nodiscard]] static EjectionState state(const Endpoint& endpoint, double now_ms);
  [[nodiscard]] static bool is_ejected(const Endpoint& endpoint, double now_ms) {
    return state(endpoint, now_ms) == EjectionState::ejected;
  }
  [[nodiscard]] bool is_unresponsive(const Endpoint& endpoint, double now_ms) const;
  // Returns whether the endpoint may be picked: it is neither ejected nor unresponsive, has no trial in
  // progress, and is not reported as failing.
  [[nodiscard]] bool is_healthy(const Endpoint& endpoint, double now_ms) const;
  // Returns a factor for the endpoint's weight in random picks: 1 if the endpoint is as fast as its peers,
  // less if it is slower.
  [[nodiscard]] double speed_factor(const Endpoint& endpoint) const;
  // Returns the 95th percentile of the latencies; 0: not known.
  [[nodiscard]] double p95_latency_ms() const { return p95_latency_ms_; }
  // Returns the age up to which a load report on the endpoint is passed on: `normally_ms`, or longer for a
  // failing endpoint.
  [[nodiscard]] static double report_lifetime_ms(const Endpoint& endpoint, double normally_ms);

  // Returns the time until which a successor process should treat the endpoint as ejected; 0 if the endpoint
  // is neither ejected nor unresponsive.
  [[nodiscard]] double successor_ejection_until_ms(const Endpoint& endpoint, double now_ms) const;
  // Ejects the endpoint until a predecessor's `until_ms`, but no longer than the maximum ejection.
  static void restore_ejection(Endpoint& endpoint, double until_ms, double now_ms);
  void restore_p95_latency_ms(double p95_latency_ms) { p95_latency_ms_ = p95_latency_ms; }

 private:
  // Lets the endpoint's outcomes decay up to `now_ms`.
  static void decay(Endpoint& endpoint, double now_ms);
  // Returns failures / outcomes of all other listed endpoints, 0 to 1.
  [[nodiscard]] double peers_failure_share(EndpointIndex index, double now_ms);
  static void record_success(OutlierState& outlier, double now_ms);
  void record_failure(EndpointIndex index, double now_ms);
  void eject(EndpointIndex index, double failure_share, double peers_failure_share, double now_ms);
  // Returns the reported failure share of the endpoint, 0 to 1, decayed by the age of the report.
  [[nodiscard]] static double reported_failure_share(const Endpoint& endpoint, double now_ms);

  EndpointTable& endpoints_;
  Random& random_;
  std::vector<PolicyEvent>& events_;
  std::vector<double> server_kind_excess_ = {0};  // mean log latency excess, indexed by server kind
  double last_answer_at_ms_ = -never;
  double p95_latency_ms_ = 0;
};

}  // namespace meadowgauge
