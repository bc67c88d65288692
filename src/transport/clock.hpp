// Milliseconds of Unix time, advanced by the steady clock so that the time never jumps.
#pragma once

#include <chrono>

namespace meadowgauge::transport {

// Read once per loop turn. Copies show the same time.
class Clock {
 public:
  Clock() : offset_(ms(std::chrono::system_clock::now()) - ms(std::chrono::steady_clock::now())) {}
  // Milliseconds of Unix time.
  [[nodiscard]] double now() const { return ms(std::chrono::steady_clock::now()) + offset_; }

 private:
  template <class T>
  static double ms(T at) {
    return std::chrono::duration<double, std::milli>(at.time_since_epoch()).count();
  }
  double offset_;
};

}  // namespace meadowgauge::transport
