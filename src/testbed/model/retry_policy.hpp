// The retry policy of the testbed's clients. Values only; the jitter depends on the seed and the request's
// number alone, so that a repeated run has the same backoff.
#pragma once

#include <cstdint>
#include <optional>

namespace meadowgauge::testbed {

struct RetrySpec {
  int max_retries = 0;            // beyond the first attempt
  double backoff_ms = 200;        // doubles with each retry; jitter of 25% either way
  bool honor_retry_after = true;  // the Retry-After value is a lower bound of the backoff
  bool retry_failures = true;     // retries failed attempts as well as rejected ones
  bool mark_retries = false;      // with X-Again: 1
};

class RetryPolicy {
 public:
  RetryPolicy(const RetrySpec& spec, std::uint64_t seed) : spec_(spec), seed_(seed) {}
  // Returns the backoff in ms after attempt number `attempts` (from 1) of request `number`, or empty for no
  // retry. `left_ms`: the rest of the client's timeout; `retry_after_ms`: 0 without a Retry-After header. A
  // non-idempotent request is retried only if it was rejected.
  [[nodiscard]] std::optional<double> delay_before_retry(std::uint64_t number, int attempts, bool rejected,
                                                         bool non_idempotent, double retry_after_ms,
                                                         double left_ms) const;
  [[nodiscard]] bool mark_retries() const { return spec_.mark_retries; }

 private:
  RetrySpec spec_;
  std::uint64_t seed_;
};

}  // namespace meadowgauge::testbed
