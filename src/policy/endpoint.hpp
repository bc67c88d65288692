// The endpoints as one balancer knows them. Each part of an endpoint's state is written by one class.
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
  double log_latency_excess = 0;  // sum of log latencies over the class's mean
  double latency_samples = 0;     // how many that sum holds
  double decayed_at_ms = 0;       // time up to which the four have decayed
  double ejected_until_ms = 0;
  double healthy_since_ms = 0;
  int ejections = 0;                  // consecutive
  bool ejected_or_half_open = false;  // ejected, and no success since
  double failure_share = 0;           // by the latest report, own or another balancer's, 0 to 1
};

// Written by SlowStart.
struct SlowStartState {
  double tokens = 0;  // requests
  double refilled_at_ms = 0;
  double failed_at_ms = -never;  // end of the last attempt that did not succeed
  double success_rate = 0;       // decaying sum of own successes
};

// Written by LoadEstimator.
struct LoadState {
  double probed_load = 0;  // requests held at the last probe, and sent since; never: the probe did not tell
  double probed_at_ms = -never;
  double response_ms = 0;  // by the latest report; 0: not known
  double reported_at_ms = -never;
  double expected_ms = 1;  // computed at each pick
};

// The trial of an endpoint that the fleet has ejected. Written by EndpointPicker.
enum class FleetTrial : std::uint8_t {
  none,
  requested,  // it is this balancer's turn
  sent        // an attempt of this turn has gone there
};

struct Endpoint {
  // As listed.
  int zone = 0;
  int cell = 0;
  int server_kind = 0;
  EndpointState state = EndpointState::gone;
  double up_since_ms = 0;
  double weight = 1;
  std::uint32_t id = 0;  // in gossip

  // Drained by an operator.
  bool manually_drained = false;
  double drained_at_ms = -never;
  double undrained_at_ms = -never;  // end of the drain, until an attempt goes there

  FleetTrial fleet_trial = FleetTrial::none;

  int in_flight = 0;                   // own attempts
  bool awaiting_first_outcome = true;  // no outcome since it was new or restarted
  double last_sign_at_ms = 0;          // last byte or outcome, or first attempt after being idle

  OutlierState outlier;
  SlowStartState slow_start;
  LoadState load;

  // Listed as ready, and not drained by an operator.
  [[nodiscard]] bool is_available() const { return state == EndpointState::ready && !manually_drained; }
};

class EndpointTable {
 public:
  Endpoint& operator[](EndpointIndex index) { return all_[position_of(index)]; }
  const Endpoint& operator[](EndpointIndex index) const { return all_[position_of(index)]; }
  [[nodiscard]] bool knows(EndpointIndex i) const {
    return i >= EndpointIndex{0} && position_of(i) < all_.size();
  }
  // Makes room for the index. References to endpoints become invalid.
  void add_up_to(EndpointIndex index) {
    if (!knows(index)) all_.resize(position_of(index) + 1);
  }

  // Endpoints in the current list, draining ones included.
  [[nodiscard]] const std::vector<EndpointIndex>& listed() const { return listed_; }
  [[nodiscard]] std::vector<EndpointIndex>& mutable_listed() { return listed_; }
  // Mean weight of the listed endpoints; 1 where there is none.
  [[nodiscard]] double mean_weight() const { return mean_weight_; }
  void set_mean_weight(double mean_weight) { mean_weight_ = mean_weight; }
  // Own attempts in flight to all endpoints.
  [[nodiscard]] int total_in_flight() const { return total_in_flight_; }
  void add_in_flight(int attempts) { total_in_flight_ += attempts; }

 private:
  std::vector<Endpoint> all_;
  std::vector<EndpointIndex> listed_;
  double mean_weight_ = 1;
  int total_in_flight_ = 0;
};

// The endpoint's load report as gossip carries it.
inline EndpointReport report_on(const Endpoint& endpoint, double now_ms) {
  return {.id = endpoint.id,
          .response_ms = endpoint.load.response_ms,
          .failure_share = endpoint.outlier.failure_share,
          .age_ms = now_ms - endpoint.load.reported_at_ms};
}

// Whether an attempt of the request has gone there.
inline bool has_tried(const Request& request, EndpointIndex index) {
  return std::ranges::any_of(request.sent_attempts(), [&](const Attempt& a) { return a.endpoint == index; });
}

}  // namespace meadowgauge
