// The record of a case: one line for each thing that was sent, answered or run, with its time.
#pragma once

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>

namespace review {

// Milliseconds since the start of the program, on a clock that never jumps.
inline double now_ms() {
  using clock = std::chrono::steady_clock;
  static const auto start = clock::now();
  return std::chrono::duration<double, std::milli>(clock::now() - start).count();
}

// Unix time in milliseconds, as discovery's `born_ms` has it.
inline double unix_ms() {
  auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(since_epoch).count();
}

// Writes the lines to a file as they come. Used by all threads of a case.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) { now_ms(); }
  ~Record() {
    if (file_) std::fclose(file_);
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  [[nodiscard]] bool open() const { return file_ != nullptr; }

  void line(const std::string& text) {
    std::lock_guard lock(mutex_);
    std::fprintf(file_, "%10.1f ms  %s\n", now_ms(), text.c_str());
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
  std::mutex mutex_;
};

}  // namespace review
