// The admission throttle: what part of the requests is dropped at arrival, by how many were accepted of late.
#pragma once

#include "policy/outcome_window.hpp"
#include "policy/random.hpp"
#include "policy/types.hpp"

namespace meadowgauge {

class AdmissionThrottle {
 public:
  // `random` has to outlive it.
  AdmissionThrottle(Random& random, double now_ms);

  // The tier has served an attempt, or has failed to.
  void record(bool accepted, double now_ms) {
    accepted ? window_.add_accepted(now_ms) : window_.add_failed(now_ms);
  }
  // Above 0 once accepted calls fall too far behind all calls.
  [[nodiscard]] double drop_probability(double now_ms) const;
  // Whether a request that arrives now is dropped; it counts as a call then.
  bool drops(bool over_quota, double now_ms);

 private:
  Random& random_;
  OutcomeWindow window_;
  double last_admitted_ = -never;
};

}  // namespace meadowgauge
