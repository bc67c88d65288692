// The endpoints as one balancer knows them. The state of each concern is written by that concern's class
// alone.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "policy/types.hpp"

namespace meadowgauge {

// Of the outlier detector. Counts fade with time.
struct OutlierState {
  double successes = 0, failures = 0;
  double log_latency_excess = 0,
         latency_samples = 0;  // sum of log excess over the usual time, and of how many
  double decayed_at_ms = 0;    // up to when the four above have faded
  double ejected_until_ms = 0, healthy_since_ms = 0;
  int ejections = 0;         // in a row
  bool on_trial = false;     // was ejected, and has not succeeded since
  double failure_share = 0;  // by the latest report, whoever it is from
};

// Of slow start.
struct SlowStartState {
  double tokens = 0, refilled_at_ms = 0;
  double failed_at_ms = -never;  // the last attempt that did not succeed
  double success_rate = 0;       // sum of own successes, fading
};

// Of the load estimator.
struct LoadState {
  double probed_load =
      0;  // requests it held at the last probe and what was sent since; never: it did not tell
  double probed_at_ms = -never;
  double response_ms = 0;  // by the latest report; 0: not known
  double reported_at_ms = -never;
  double expected_ms = 1;  // worked out at each pick
};

struct Endpoint {
  // As listed.
  int zone = 0, cell = 0, server_kind = 0;
  EndpointState state = EndpointState::gone;
  double up_since_ms = 0, weight = 1;
  std::uint32_t id = 0;  // what gossip calls it

  // By an operator.
  bool manually_drained = false;
  double drained_at_ms = -never;
  double undrained_at_ms = -never;  // put back, and not tried since

  int in_flight = 0;                   // own attempts
  bool awaiting_first_outcome = true;  // no outcome yet since it was new or restarted
  double last_sign_at_ms = 0;          // of life, or when it was first given something to do

  OutlierState outlier;
  SlowStartState slow_start;
  LoadState load;

  [[nodiscard]] bool is_available() const { return state == EndpointState::ready && !manually_drained; }
};

class EndpointTable {
 public:
  Endpoint& operator[](EndpointIndex i) { return all_[position_of(i)]; }
  const Endpoint& operator[](EndpointIndex i) const { return all_[position_of(i)]; }
  [[nodiscard]] bool knows(EndpointIndex i) const {
    return i >= EndpointIndex{0} && position_of(i) < all_.size();
  }
  void add_up_to(EndpointIndex i) {
    if (!knows(i)) all_.resize(position_of(i) + 1);
  }

  std::vector<EndpointIndex> listed;
  double mean_weight = 1;   // of the listed ones
  int total_in_flight = 0;  // own attempts, to all endpoints

 private:
  std::vector<Endpoint> all_;
};

// What gossip tells of an endpoint.
inline EndpointReport report_on(const Endpoint& endpoint, double now_ms) {
  return {.id = endpoint.id,
          .response_ms = endpoint.load.response_ms,
          .failure_share = endpoint.outlier.failure_share,
          .age_ms = now_ms - endpoint.load.reported_at_ms};
}

// Whether an attempt of the request went there.
inline bool has_tried(const Request& request, EndpointIndex index) {
  return std::ranges::any_of(request.sent_attempts(), [&](const Attempt& a) { return a.endpoint == index; });
}

}  // namespace meadowgauge
