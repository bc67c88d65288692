// Bounds the rate of lease requests and grants that an instance sends, so that many borrowers at once can't
// keep it from serving requests. A token bucket that holds one second's datagrams, full at the start.
#pragma once

#include <algorithm>
#include <cstdint>

namespace meadowgauge::fleet {

class DatagramBudget {
 public:
  // Whether one datagram may be sent now; counts it. `per_s` is the limit in force, in datagrams a second.
  bool try_take(double per_s, double now_ms) {
    left_ = std::min(per_s, left_ + (now_ms - refilled_at_ms_) * per_s / 1000);
    refilled_at_ms_ = now_ms;
    if (left_ < 1) {
      ++refused_;
      return false;
    }
    left_ -= 1;
    return true;
  }
  // Refused datagrams since the start.
  [[nodiscard]] std::uint64_t refused() const { return refused_; }

 private:
  double left_ = 0;
  double refilled_at_ms_ = 0;  // far in the past by Unix time, so the first call fills the bucket
  std::uint64_t refused_ = 0;
};

}  // namespace meadowgauge::fleet
