// How many lease requests and grants an instance may send: with however many asking at once, it does not
// spend its time on answers. A token bucket of one second, full at the start.
#pragma once

#include <algorithm>
#include <cstdint>

namespace meadowgauge::fleet {

class DatagramBudget {
 public:
  // True: one datagram may be sent now, and is counted. `per_s` is the limit in force; `now` in ms.
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
  // Total since the start.
  [[nodiscard]] std::uint64_t refused() const { return refused_; }

 private:
  double left_ = 0;
  double refilled_at_ms_ = 0;  // by Unix time this is long ago: the first call fills it
  std::uint64_t refused_ = 0;
};

}  // namespace meadowgauge::fleet
