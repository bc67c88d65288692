#include "testbed/model/retry_policy.hpp"

#include <algorithm>
#include <cmath>

#include "testbed/model/random.hpp"

namespace meadowgauge::testbed {

namespace {
constexpr double min_time_left_ms = 10;  // below this a retry cannot be answered before the timeout
}

std::optional<double> RetryPolicy::delay_before_retry(std::uint64_t number, int attempts, bool rejected,
                                                      bool non_idempotent, double retry_after_ms,
                                                      double left_ms) const {
  if (attempts > spec_.max_retries) return {};
  if (!rejected && (!spec_.retry_failures || non_idempotent)) return {};
  double wait_ms = spec_.backoff_ms * std::exp2(attempts - 1);
  auto jitter_seed = mixed(seed_, "retry", number * 64 + static_cast<std::uint64_t>(attempts));
  wait_ms *= 0.75 + 0.5 * uniform_of(jitter_seed);
  if (spec_.honor_retry_after) wait_ms = std::max(wait_ms, retry_after_ms);
  if (wait_ms + min_time_left_ms >= left_ms) return {};
  return wait_ms;
}

}  // namespace meadowgauge::testbed
