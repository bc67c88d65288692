// Timing of the turns of an event loop. The code here does not read the clock; the loop's owner passes the
// time.
#pragma once

#include <algorithm>

namespace meadowgauge::transport {

// Times of one turn, in ms.
struct TurnTimes {
  double work_ms = 0;  // from the start of the turn to its end
  // From the due time, or from the start of the wait if that is later, to the start of the turn.
  double late_ms = 0;
  double gap_ms = 0;  // from the start of the previous turn to the start of this one
};

// Measures the turns of a loop and keeps the maxima.
class TurnMeter {
 public:
  // `now_ms`: when the loop begins its first wait.
  explicit TurnMeter(double now_ms) : wait_began_ms_(now_ms), turn_began_ms_(now_ms) {}

  // To be called when a wait has ended. `due_ms`: the time at which the wait should have ended at the latest;
  // infinite without a due time.
  void turn_began(double due_ms, double now_ms) {
    current_.gap_ms = now_ms - turn_began_ms_;
    turn_began_ms_ = now_ms;
    current_.late_ms = std::max(0.0, now_ms - std::max(due_ms, wait_began_ms_));
    longest_.late_ms = std::max(longest_.late_ms, current_.late_ms);
  }
  // To be called when the turn's work is done and the next wait begins.
  void turn_ended(double now_ms) {
    wait_began_ms_ = now_ms;
    current_.work_ms = now_ms - turn_began_ms_;
    longest_.work_ms = std::max(longest_.work_ms, current_.work_ms);
  }

  // When the last turn ended, which is when the loop last read or wrote.
  [[nodiscard]] double wait_began_ms() const { return wait_began_ms_; }
  // How long to wait for `due_ms`, from the end of the last turn. Counting from the start of that turn would
  // add the length of a long turn to the wait.
  [[nodiscard]] double time_until(double due_ms) const { return due_ms - wait_began_ms_; }
  // The running turn or, after turn_ended(), the last one. `work_ms` is updated by turn_ended().
  [[nodiscard]] const TurnTimes& current() const { return current_; }
  // The maxima of `work_ms` and `late_ms` over all turns, which may be from different turns.
  [[nodiscard]] const TurnTimes& longest() const { return longest_; }

 private:
  double wait_began_ms_;
  double turn_began_ms_;
  TurnTimes current_;
  TurnTimes longest_;
};

}  // namespace meadowgauge::transport
