#include "testbed/model/retry_policy.hpp"

#include <algorithm>
#include <cmath>

#include "testbed/model/random.hpp"

namespace meadowgauge::testbed {

namespace {
constexpr double min_remaining_ms = 10;  // with less time left, a response to the retry would come too late
}

std::optional<double> RetryPolicy::delay_before_retry(std::uint64_t request_number, int attempt_number,
                                                      bool is_rejected, bool is_non_idempotent,
                                                      double retry_after_ms, double remaining_ms) const {
  if (attempt_number > spec_.max_retries) return {};
  if (!is_rejected && (!spec_.retry_failures || is_non_idempotent)) return {};
  double wait_ms = spec_.backoff_ms * std::exp2(attempt_number - 1);
  auto jitter_seed =
      derive_seed(seed_, "retry", request_number * 64 + static_cast<std::uint64_t>(attempt_number));
  wait_ms *= 0.75 + 0.5 * uniform_of(jitter_seed);
  if (spec_.honor_retry_after) wait_ms = std::max(wait_ms, retry_after_ms);
  if (wait_ms + min_remaining_ms >= remaining_ms) return {};
  return wait_ms;
}

}  // namespace meadowgauge::testbed
