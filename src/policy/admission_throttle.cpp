#include "policy/admission_throttle.hpp"

#include <algorithm>

namespace meadowgauge {
namespace {

// The "sre" preset of the paper.
constexpr int bucket_count = 40;
constexpr double bucket_ms = 250;
constexpr double max_accepts_multiplier = 1.5;  // requests allowed per accepted request
constexpr double min_accepts_multiplier = 1.1;  // lower bound, reached when the whole window has failed
constexpr double protection_requests = 5;       // requests in the window that never cause a drop
constexpr double trial_interval_ms = 1000;      // one request is always admitted per interval

}  // namespace

AdmissionThrottle::AdmissionThrottle(Random& random, double now_ms)
    : random_(random), window_(bucket_count, bucket_ms, now_ms) {}

void AdmissionThrottle::record(bool accepted, double now_ms) {
  if (accepted) {
    window_.add_accepted(now_ms);
  } else {
    window_.add_failed(now_ms);
  }
}

double AdmissionThrottle::drop_probability(double now_ms) const {
  auto sums = window_.sums(now_ms);
  double accepts_multiplier =
      std::max(max_accepts_multiplier -
                   (max_accepts_multiplier - min_accepts_multiplier) * sums.failing / bucket_count,
               min_accepts_multiplier);
  double excess = sums.total - protection_requests - accepts_multiplier * sums.accepts;
  return excess / (sums.total + 1) * (bucket_count - sums.working) / bucket_count;
}

bool AdmissionThrottle::should_drop(bool over_quota, double now_ms) {
  double probability = drop_probability(now_ms);
  bool is_trial_due = now_ms - last_admitted_at_ms_ >= trial_interval_ms;
  if (probability > 0 && !is_trial_due &&
      (random_.uniform() < probability || (over_quota && random_.uniform() < probability))) {
    window_.add_dropped(now_ms);
    return true;
  }
  last_admitted_at_ms_ = now_ms;
  return false;
}

}  // namespace meadowgauge
