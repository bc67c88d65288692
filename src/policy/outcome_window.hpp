// Counts of accepted and failed calls over a time that moves on. It measures; what follows from that is
// decided elsewhere.
#pragma once

#include <cstdint>
#include <vector>

namespace meadowgauge {

class OutcomeWindow {
 public:
  struct Sums {
    double total = 0, accepts = 0;
    // Buckets from the newest back in which nothing was accepted, in which nothing failed; empty ones between
    // them are passed over.
    int failing = 0, working = 0;
  };

  // So many buckets of `bucket_ms` each, the first of them from `now` on.
  OutcomeWindow(int buckets, double bucket_ms, double now_ms);

  void add_accepted(double now_ms);
  void add_failed(double now_ms);
  // A call that was not made.
  void add_dropped(double now_ms);
  [[nodiscard]] Sums sums(double now_ms) const;

 private:
  struct Bucket {
    std::int64_t slot = -1;  // of time, from the start; -1: unused
    int total = 0, accepts = 0, failures = 0;
  };
  [[nodiscard]] std::int64_t slot_at(double now_ms) const;
  [[nodiscard]] std::size_t index_of(std::int64_t slot) const;
  Bucket& current(double now_ms);

  double bucket_ms_, started_;
  std::vector<Bucket> ring_;
};

}  // namespace meadowgauge
