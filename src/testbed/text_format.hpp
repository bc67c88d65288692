// Formats numbers as text.
#pragma once

#include <cstdint>
#include <string>

#include "testbed/run_metrics.hpp"

namespace meadowgauge::testbed {

// Formats like printf. The result is truncated to 1,023 bytes.
[[gnu::format(printf, 1, 2)]] std::string formatted(const char* format, ...);

// Converts a count to the type that the format `%llu` requires.
inline unsigned long long printable(std::uint64_t number) { return number; }

// Returns `count` as a percentage of a run's requests. Without requests, `count` is 0 and so is the result.
double percent_of_requests(std::uint64_t count, const RunMetrics& metrics);

}  // namespace meadowgauge::testbed
