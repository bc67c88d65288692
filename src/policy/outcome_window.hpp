// Counts accepted, failed and dropped calls in a sliding window. AdmissionThrottle decides what to drop.
#pragma once

#include <cstdint>
#include <vector>

namespace meadowgauge {

// Sliding window of equally long buckets, kept in a ring.
class OutcomeWindow {
 public:
  struct Sums {
    double total = 0;    // all calls, including dropped ones
    double accepts = 0;  // accepted calls
    int failing = 0;     // consecutive newest buckets with failures and no accepted call, skipping empty ones
    int working = 0;     // consecutive newest buckets with accepted calls and no failure, skipping empty ones
  };

  // The window is `buckets` * `bucket_ms` long; the first bucket starts at `now_ms`.
  OutcomeWindow(int buckets, double bucket_ms, double now_ms);

  void add_accepted(double now_ms);
  void add_failed(double now_ms);
  // Adds a call that the throttle dropped without making it.
  void add_dropped(double now_ms);
  [[nodiscard]] Sums sums(double now_ms) const;

 private:
  struct Bucket {
    std::int64_t slot = -1;  // number of the bucket counted from the start; -1: unused
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
