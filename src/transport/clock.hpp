// The clock of the event loops.
#pragma once

#include <chrono>

namespace meadowgauge::transport {

// Milliseconds of Unix time, advanced by the steady clock: steps of the system clock after construction have
// no effect. A loop reads the clock once per turn. Copies return the same time.
class Clock {
 public:
  Clock()
      : offset_(milliseconds_of(std::chrono::system_clock::now()) -
                milliseconds_of(std::chrono::steady_clock::now())) {}
  // The current time in milliseconds of Unix time.
  [[nodiscard]] double now() const { return milliseconds_of(std::chrono::steady_clock::now()) + offset_; }

 private:
  template <class T>
  static double milliseconds_of(T at) {
    return std::chrono::duration<double, std::milli>(at.time_since_epoch()).count();
  }
  double offset_;
};

}  // namespace meadowgauge::transport
