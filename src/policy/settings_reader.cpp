#include "policy/settings_reader.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace meadowgauge {

std::string_view SettingsReader::text(std::string_view key) const {
  auto it = settings_.find(key);
  return it == settings_.end() ? std::string_view{} : std::string_view{it->second};
}

double SettingsReader::number(const std::string& key, double default_value) {
  auto setting_text = text(key);
  if (setting_text.empty()) return default_value;
  double value = 0;
  const char* last = setting_text.data() + setting_text.size();
  auto [end, error] = std::from_chars(setting_text.data(), last, value);
  if (error == std::errc{} && end == last && std::isfinite(value)) return value;
  events_.emplace_back(InvalidSetting{.name = key, .value = std::string(setting_text)});
  return default_value;
}

double SettingsReader::item_count(std::string_view key) const {
  auto setting_text = text(key);
  return 1 + static_cast<double>(std::count(setting_text.begin(), setting_text.end(), ','));
}

int SettingsReader::report_column(std::string_view method, std::string_view name) const {
  auto columns = text("report.columns");
  if (text("report.how") != method) return -1;
  for (int column = 0;; ++column) {
    auto comma = columns.find(',');
    if (columns.substr(0, comma) == name) return column;
    if (comma == std::string_view::npos) return -1;
    columns.remove_prefix(comma + 1);
  }
}

}  // namespace meadowgauge
