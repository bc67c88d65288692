// Per-endpoint state of one balancer. Each part of an endpoint's state is written by one class only.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "policy/types.hpp"

namespace meadowgauge {

// Written by OutlierDetector. The first four values decay with time.
struct OutlierState {
  double successes = 0;
  double failures = 0;
  double log_latency_excess_sum = 0;  // sum of log(latency / mean latency of the class)
  double latency_samples = 0;         // number of latencies in that sum
  double decayed_at_ms = 0;           // time of the last decay of the four values
  double ejected_until_ms = 0;
  double healthy_since_ms = 0;
  int ejections = 0;                  // consecutive
  bool ejected_or_half_open = false;  // ejected, without a success since
  double failure_share = 0;           // by the latest report, own or received by gossip, 0 to 1
};

// Written by SlowStart.
struct SlowStartState {
  double tokens = 0;  // requests that may be sent
  double refilled_at_ms = 0;
  double failed_at_ms = -never;  // end of the last attempt that did not succeed
  double success_rate = 0;       // decaying sum of this balancer's successes
};

// Written by LoadEstimator.
struct LoadState {
  double probed_load = 0;  // in flight at the last probe, plus requests sent since; never: not reported
  double probed_at_ms = -never;
  double response_ms = 0;  // expected latency by the latest report; 0: unknown
  double reported_at_ms = -never;
  double expected_ms = 1;  // computed at each pick
};

// State of the trial request to an endpoint that the fleet has ejected. Written by EndpointPicker.
enum class FleetTrial : std::uint8_t {
  none,
  requested,  // it is this balancer's turn
  sent        // an attempt has been sent in this turn
};

// What this balancer knows of one endpoint.
struct Endpoint {
  // From the endpoint list.
  int zone = 0;
  int cell = 0;
  int server_kind = 0;
  EndpointState state = EndpointState::gone;
  double up_since_ms = 0;
  double weight = 1;
  std::uint32_t id = 0;  // identifies the endpoint in gossip

  // Drained by an operator.
  bool manually_drained = false;
  double drained_at_ms = -never;
  double undrained_at_ms = -never;  // end of the last drain; -never if none, or an attempt was sent since

  FleetTrial fleet_trial = FleetTrial::none;

  int in_flight = 0;                   // attempts of this balancer
  bool awaiting_first_outcome = true;  // no outcome since added or restarted; cancellations excluded
  double last_activity_at_ms = 0;  // last byte or outcome received, or first attempt sent after being idle

  OutlierState outlier;
  SlowStartState slow_start;
  LoadState load;

  // Whether the endpoint is listed as ready and not drained by an operator.
  [[nodiscard]] bool is_available() const { return state == EndpointState::ready && !manually_drained; }
};

// All endpoints that the balancer has seen, by index, and the indices of those in the current list.
class EndpointTable {
 public:
  Endpoint& operator[](EndpointIndex index) { return all_[position_of(index)]; }
  const Endpoint& operator[](EndpointIndex index) const { return all_[position_of(index)]; }
  [[nodiscard]] bool knows(EndpointIndex i) const {
    return i >= EndpointIndex{0} && position_of(i) < all_.size();
  }
  // Grows the table to contain the index. Invalidates references to endpoints.
  void grow_to_include(EndpointIndex index) {
    if (!knows(index)) all_.resize(position_of(index) + 1);
  }

  // Endpoints in the current list, including draining endpoints.
  [[nodiscard]] const std::vector<EndpointIndex>& listed() const { return listed_; }
  [[nodiscard]] std::vector<EndpointIndex>& mutable_listed() { return listed_; }
  // Mean weight of the listed endpoints; 1 if the list is empty.
  [[nodiscard]] double mean_weight() const { return mean_weight_; }
  void set_mean_weight(double mean_weight) { mean_weight_ = mean_weight; }
  // This balancer's attempts in flight to all endpoints.
  [[nodiscard]] int total_in_flight() const { return total_in_flight_; }
  void add_in_flight(int attempts) { total_in_flight_ += attempts; }

 private:
  std::vector<Endpoint> all_;
  std::vector<EndpointIndex> listed_;
  double mean_weight_ = 1;
  int total_in_flight_ = 0;
};

// Builds the gossip message's report on the endpoint.
inline EndpointReport make_endpoint_report(const Endpoint& endpoint, double now_ms) {
  return {.id = endpoint.id,
          .response_ms = endpoint.load.response_ms,
          .failure_share = endpoint.outlier.failure_share,
          .age_ms = now_ms - endpoint.load.reported_at_ms};
}

// Whether an attempt of the request was sent to the endpoint.
inline bool has_tried(const Request& request, EndpointIndex index) {
  return std::ranges::any_of(request.sent_attempts(), [&](const Attempt& a) { return a.endpoint == index; });
}

}  // namespace meadowgauge
