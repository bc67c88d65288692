#include "record.hpp"

#include <chrono>
#include <stdexcept>
#include <thread>

namespace review {

double now_ms() {
  auto since_epoch = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(since_epoch).count();
}

void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

Record::Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), started_at_ms_(now_ms()) {
  if (!file_) throw std::runtime_error("cannot write " + path);
}

Record::~Record() { std::fclose(file_); }

void Record::line(const char* format, ...) {
  std::lock_guard lock(mutex_);
  std::fprintf(file_, "%9.1f ms  ", since_start_ms(now_ms()));
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(file_, format, arguments);
  va_end(arguments);
  std::fputc('\n', file_);
  std::fflush(file_);
}

}  // namespace review
