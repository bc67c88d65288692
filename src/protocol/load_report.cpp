#include "protocol/load_report.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "protocol/text.hpp"

namespace meadowgauge::protocol {
namespace {

// Pairs of names for the same figure. Settings and load reports may use either name.
constexpr std::array<std::pair<std::string_view, std::string_view>, 6> synonyms{{{"concurrent", "inflight"},
                                                                                 {"depth", "queue"},
                                                                                 {"load_share", "util"},
                                                                                 {"mean_ms", "latency_ms"},
                                                                                 {"tps", "qps"},
                                                                                 {"err_ps", "eps"}}};

// Upper bound of a utilization.
constexpr float max_load_share = 4;
// Upper bound of all other figures, in the unit of the column.
constexpr float max_figure_value = 1e7F;

// Whether the value is negative, NaN or above the bound of its column.
bool is_implausible(std::string_view column, float value) {
  bool share = equals_ignoring_case(column, "load_share") || equals_ignoring_case(column, "util");
  return !(value >= 0) || value > (share ? max_load_share : max_figure_value);
}

bool names_same_figure(std::string_view column, std::string_view name) {
  return column == name || std::any_of(synonyms.begin(), synonyms.end(), [&](const auto& pair) {
           return (pair.first == column && pair.second == name) ||
                  (pair.second == column && pair.first == name);
         });
}

}  // namespace

ReportedFigures read_load_report(std::string_view text, const std::vector<std::string_view>& columns) {
  ReportedFigures report;
  const auto known = std::min(columns.size(), report.values.size());
  std::array<bool, max_reported_figures> present{};
  while (!text.empty()) {
    auto item = named_value(take_item(text, " "));
    if (!item) return {};  // truncated or not a load report
    for (std::size_t i = 0; i < known; ++i) {
      if (!names_same_figure(columns[i], item->name)) continue;
      auto value = parse_number<float>(item->value);
      if (!value || is_implausible(columns[i], *value) || present[i]) return {};
      report.values[i] = *value;
      present[i] = true;
    }
  }
  // Stops at the first missing figure, because values are matched to columns by position.
  while (report.count < static_cast<int>(known) && present[static_cast<std::size_t>(report.count)])
    ++report.count;
  return report;
}

}  // namespace meadowgauge::protocol
