// Formatting of numbers into text.
#pragma once

#include <cstdint>
#include <string>

#include "testbed/run_metrics.hpp"

namespace meadowgauge::testbed {

// As printf, up to 1,023 bytes; what is longer is cut.
[[gnu::format(printf, 1, 2)]] std::string formatted(const char* format, ...);

// For `%llu`.
inline unsigned long long printable(std::uint64_t number) { return number; }

// `count` as a percentage of a run's requests; 0 where there were none.
double percent_of_requests(std::uint64_t count, const RunMetrics& metrics);

}  // namespace meadowgauge::testbed
