// Limits the rate of lease requests and grants that an instance sends, so that many concurrent borrowers
// cannot take the time that it needs to serve requests.
#pragma once

#include <algorithm>
#include <cstdint>

namespace meadowgauge::fleet {

// A token bucket that holds the datagrams of one second and is full at the start.
class DatagramBudget {
 public:
  // Takes a token and returns true, or returns false and counts a refusal if no token is left. `per_s` is the
  // limit in force, in datagrams a second.
  bool try_take(double per_s, double now_ms) {
    tokens_ = std::min(per_s, tokens_ + (now_ms - refilled_at_ms_) * per_s / 1000);
    refilled_at_ms_ = now_ms;
    if (tokens_ < 1) {
      ++refused_;
      return false;
    }
    tokens_ -= 1;
    return true;
  }
  // Number of datagrams refused since the start.
  [[nodiscard]] std::uint64_t refused() const { return refused_; }

 private:
  double tokens_ = 0;
  double refilled_at_ms_ = 0;  // times are Unix times, so the first call fills the bucket
  std::uint64_t refused_ = 0;
};

}  // namespace meadowgauge::fleet
