// The admission throttle: rejects a share of the requests at arrival when too few attempts succeed. Design:
// docs/design.md, "Kept".
#pragma once

#include "policy/outcome_window.hpp"
#include "policy/random.hpp"
#include "policy/types.hpp"

namespace meadowgauge {

// Client-side throttling after the "Breaker" of the "moonward" paper. Over a sliding window of ten seconds:
//
//   drop probability = (total - protection - k * accepted) / (total + 1) * (buckets - working) / buckets
//   k                = max(1.5 - (1.5 - 1.1) * failing / buckets, 1.1)
//
//   k         requests allowed per accepted request
//   working   number of newest buckets with accepted requests and no failure; empty buckets are skipped
//   failing   number of newest buckets with failures and no accepted request; empty buckets are skipped
//
// No request is dropped at a probability of 0 or below. A dropped request counts in `total`, so that a
// throttled backend still looks busy. After a second without an admitted request the next request is always
// admitted, to probe the backend.
class AdmissionThrottle {
 public:
  // `random` must outlive the throttle.
  AdmissionThrottle(Random& random, double now_ms);

  // Records the outcome of an attempt: accepted by the tier, or failed.
  void record(bool accepted, double now_ms);
  // Returns the share of requests to drop; a value of 0 or below means that none is dropped.
  [[nodiscard]] double drop_probability(double now_ms) const;
  // Decides whether a request that arrives now is dropped, and counts a dropped request in the window. For a
  // request over its tenant's quota the random draw is made twice, which makes a drop more likely.
  bool should_drop(bool over_quota, double now_ms);

 private:
  Random& random_;
  OutcomeWindow window_;
  double last_admitted_at_ms_ = -never;
};

}  // namespace meadowgauge
