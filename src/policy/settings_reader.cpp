#include "policy/settings_reader.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace meadowgauge {

std::string_view SettingsReader::text(std::string_view key) const {
  auto it = settings_.find(key);
  return it == settings_.end() ? std::string_view{} : std::string_view{it->second};
}

double SettingsReader::number(const std::string& key, double otherwise) {
  auto given = text(key);
  if (given.empty()) return otherwise;
  double value = 0;
  const char* last = given.data() + given.size();
  auto [end, error] = std::from_chars(given.data(), last, value);
  if (error == std::errc{} && end == last && std::isfinite(value)) return value;
  events_.emplace_back(InvalidSetting{.name = key, .value = std::string(given)});
  return otherwise;
}

double SettingsReader::item_count(std::string_view key) const {
  auto given = text(key);
  return 1 + static_cast<double>(std::count(given.begin(), given.end(), ','));
}

int SettingsReader::report_column(std::string_view how, std::string_view name) const {
  auto columns = text("report.columns");
  if (text("report.how") != how) return -1;
  for (int column = 0;; ++column) {
    auto comma = columns.find(',');
    if (columns.substr(0, comma) == name) return column;
    if (comma == std::string_view::npos) return -1;
    columns.remove_prefix(comma + 1);
  }
}

}  // namespace meadowgauge
