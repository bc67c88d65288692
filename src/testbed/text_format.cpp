#include "testbed/text_format.hpp"

#include <algorithm>
#include <array>
#include <cstdarg>
#include <cstdio>

namespace meadowgauge::testbed {

std::string formatted(const char* format, ...) {
  std::array<char, 1024> buffer{};
  va_list args;
  va_start(args, format);
  std::vsnprintf(buffer.data(), buffer.size(), format, args);
  va_end(args);
  return buffer.data();
}

double percent_of_requests(std::uint64_t count, const RunMetrics& metrics) {
  return 100.0 * static_cast<double>(count) / std::max<double>(1, static_cast<double>(metrics.requests));
}

}  // namespace meadowgauge::testbed
