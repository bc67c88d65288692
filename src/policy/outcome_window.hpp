// Counts of accepted and failed calls in a sliding window. It only measures; AdmissionThrottle decides.
#pragma once

#include <cstdint>
#include <vector>

namespace meadowgauge {

class OutcomeWindow {
 public:
  struct Sums {
    double total = 0;    // calls, dropped ones among them
    double accepts = 0;  // accepted calls
    int failing = 0;     // newest buckets with failures and nothing accepted; empty ones are skipped
    int working = 0;     // newest buckets with accepted calls and no failure; empty ones are skipped
  };

  // A window of `buckets` times `bucket_ms`; the first bucket begins at `now_ms`.
  OutcomeWindow(int buckets, double bucket_ms, double now_ms);

  void add_accepted(double now_ms);
  void add_failed(double now_ms);
  // A call that was rejected without being made.
  void add_dropped(double now_ms);
  [[nodiscard]] Sums sums(double now_ms) const;

 private:
  struct Bucket {
    std::int64_t slot = -1;  // number of the bucket since the start; -1: unused
    int total = 0;
    int accepts = 0;
    int failures = 0;
  };
  [[nodiscard]] std::int64_t slot_at(double now_ms) const;
  [[nodiscard]] std::size_t index_of(std::int64_t slot) const;
  Bucket& current(double now_ms);

  double bucket_ms_;
  double started_at_ms_;
  std::vector<Bucket> ring_;
};

}  // namespace meadowgauge
