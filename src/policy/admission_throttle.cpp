#include "policy/admission_throttle.hpp"

#include <algorithm>

namespace meadowgauge {

// PAPER, "sre" preset: ten seconds in which accepted calls count k times, less as an outage lasts.
constexpr int buckets = 40;
constexpr double bucket_ms = 250;
constexpr double k_top = 1.5, k_floor = 1.1;
constexpr double protection = 5;         // calls that never lead to a drop
constexpr double trial_every_ms = 1000;  // one is let through this often whatever the window says

AdmissionThrottle::AdmissionThrottle(Random& random, double now_ms)
    : random_(random), window_(buckets, bucket_ms, now_ms) {}

double AdmissionThrottle::drop_probability(double now_ms) const {
  auto sums = window_.sums(now_ms);
  double k = std::max(k_top - (k_top - k_floor) * sums.failing / buckets, k_floor);
  return (sums.total - protection - k * sums.accepts) / (sums.total + 1) * (buckets - sums.working) / buckets;
}

bool AdmissionThrottle::drops(bool over_quota, double now_ms) {
  double p = drop_probability(now_ms);
  bool trial_is_due = now_ms - last_admitted_ >= trial_every_ms;
  if (p > 0 && !trial_is_due && (random_.uniform() < p || (over_quota && random_.uniform() < p))) {
    window_.add_dropped(now_ms);
    return true;
  }
  last_admitted_ = now_ms;
  return false;
}

}  // namespace meadowgauge
