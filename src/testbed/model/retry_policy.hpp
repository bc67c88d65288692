// The retry policy of the testbed's clients. No clock and no state: the jitter depends only on the seed, the
// request's number and the attempt's number, so that a repeated run has the same backoff.
#pragma once

#include <cstdint>
#include <optional>

namespace meadowgauge::testbed {

struct RetrySpec {
  int max_retries = 0;            // after the first attempt
  double backoff_ms = 200;        // before the first retry, doubles with each; jitter of 25% either way
  bool honor_retry_after = true;  // waits at least as long as Retry-After demands
  bool retry_failures = true;     // also retries failed attempts, not only rejected ones
  bool mark_retries = false;      // marks retries with the header X-Again: 1
};

class RetryPolicy {
 public:
  RetryPolicy(const RetrySpec& spec, std::uint64_t seed) : spec_(spec), seed_(seed) {}
  // Returns the backoff in ms after attempt `attempt_number` (from 1) of request `request_number`, or empty
  // for no retry. A non-idempotent request is retried only if it was rejected, because a failed one may have
  // executed. `remaining_ms`: left of the client's timeout; `retry_after_ms`: 0 without a Retry-After header.
  [[nodiscard]] std::optional<double> delay_before_retry(std::uint64_t request_number, int attempt_number,
                                                         bool is_rejected, bool is_non_idempotent,
                                                         double retry_after_ms, double remaining_ms) const;
  [[nodiscard]] bool mark_retries() const { return spec_.mark_retries; }

 private:
  RetrySpec spec_;
  std::uint64_t seed_;
};

}  // namespace meadowgauge::testbed
