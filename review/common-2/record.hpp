// The record of one run: what was sent, answered and run, one line each, with the time since the start.
#pragma once

#include <cstdarg>
#include <cstdio>
#include <mutex>
#include <string>

namespace review {

// Milliseconds of the steady clock. All times of a case are of this clock.
double now_ms();

// Sleeps for this long; no effect if it is not above 0.
void sleep_ms(double ms);

// Writes record.txt. Any thread may add lines.
class Record {
 public:
  // Throws std::runtime_error if the file cannot be written.
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  // Adds a line, formatted as by printf.
  void line(const char* format, ...) __attribute__((format(printf, 2, 3)));

  // Milliseconds since the record was opened, as written at the start of each line.
  [[nodiscard]] double since_start_ms(double at_ms) const { return at_ms - started_at_ms_; }

 private:
  std::mutex mutex_;
  std::FILE* file_;
  double started_at_ms_;
};

}  // namespace review
