// Formatting of numbers into text.
#pragma once

#include <cstdint>
#include <string>

#include "testbed/run_metrics.hpp"

namespace meadowgauge::testbed {

// Formats like printf; truncates to 1,023 bytes.
[[gnu::format(printf, 1, 2)]] std::string formatted(const char* format, ...);

// Converts a count for `%llu`.
inline unsigned long long printable(std::uint64_t number) { return number; }

// Returns `count` as a percentage of a run's requests; 0 without requests.
double percent_of_requests(std::uint64_t count, const RunMetrics& metrics);

}  // namespace meadowgauge::testbed
