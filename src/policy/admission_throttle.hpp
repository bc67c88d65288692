// The admission throttle: rejects a share of the requests at arrival when too few attempts succeed. Design:
// docs/design.md, "Kept".
#pragma once

#include "policy/outcome_window.hpp"
#include "policy/random.hpp"
#include "policy/types.hpp"

namespace meadowgauge {

// Client-side throttling of the paper ("moonward", Breaker): over a sliding window of ten seconds,
//
//   drop probability = (total - protection - k * accepted) / (total + 1) * (buckets - working) / buckets
//   k                = max(1.5 - (1.5 - 1.1) * failing / buckets, 1.1)
//
// where `working` and `failing` count the latest buckets without a failure and without a success. Nothing is
// dropped at 0 or below. A drop counts in `total`, so that a throttled backend still reads as busy. After a
// second without an admitted request the next one is admitted in any case.
class AdmissionThrottle {
 public:
  // `random` must outlive the throttle.
  AdmissionThrottle(Random& random, double now_ms);

  // The tier has accepted an attempt, or has failed it.
  void record(bool accepted, double now_ms);
  // The share of requests to drop; 0 or below: none.
  [[nodiscard]] double drop_probability(double now_ms) const;
  // Decides whether a request that arrives now is dropped, and counts it if so. A request over its tenant's
  // quota is drawn for twice.
  bool should_drop(bool over_quota, double now_ms);

 private:
  Random& random_;
  OutcomeWindow window_;
  double last_admitted_at_ms_ = -never;
};

}  // namespace meadowgauge
