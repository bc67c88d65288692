// Parser of load reports, from a response header or the response to a load probe: name=value,name=value.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>
#include <vector>

namespace meadowgauge::protocol {

inline constexpr std::size_t max_reported_figures = 4;

// The figures of a load report, in the order and the units of the configured columns.
struct ReportedFigures {
  int count = 0;  // number of valid `values`
  std::array<float, max_reported_figures> values{};
};

// Reads the figures named by `columns`, up to the first missing figure. Returns no figures for a malformed or
// implausible report.
ReportedFigures read_load_report(std::string_view text, const std::vector<std::string_view>& columns);

}  // namespace meadowgauge::protocol
