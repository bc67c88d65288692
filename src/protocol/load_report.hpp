// Parser of load reports, which come in a response header or in the response to a load probe. Format:
// name=value,name=value.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>
#include <vector>

namespace meadowgauge::protocol {

inline constexpr std::size_t max_reported_figures = 4;

// The figures of a load report, in the order and the units of the configured columns.
struct ReportedFigures {
  int count = 0;  // the number of valid `values`
  std::array<float, max_reported_figures> values{};
};

// Reads the figures named by `columns`, up to the first one that is missing. Returns no figures if the report
// is malformed or has an implausible value.
ReportedFigures read_load_report(std::string_view text, const std::vector<std::string_view>& columns);

}  // namespace meadowgauge::protocol
