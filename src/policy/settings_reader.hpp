// Typed access to single settings.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "policy/policy_event.hpp"
#include "policy/types.hpp"

namespace meadowgauge {

// Reads settings as text, flags, numbers and lists.
class SettingsReader {
 public:
  // Both arguments must outlive the reader. Each number() that finds an invalid value adds an event.
  SettingsReader(const Settings& settings, std::vector<PolicyEvent>& events)
      : settings_(settings), events_(events) {}

  // Returns the setting as text; empty if it is absent.
  [[nodiscard]] std::string_view text(std::string_view key) const;
  [[nodiscard]] bool flag(std::string_view key) const { return text(key) == "true"; }
  // Returns the setting as a finite number, or `default_value` if it is absent or invalid.
  double number(const std::string& key, double default_value);
  // Returns the number of items in a comma-separated list; 1 if the setting is absent.
  [[nodiscard]] double item_count(std::string_view key) const;
  // Returns the position of column `name` in the load reports; -1 if the reports do not have the column or
  // are not sent by `method` ("inline": with responses, "on_probe": with probes).
  [[nodiscard]] int report_column(std::string_view method, std::string_view name) const;

 private:
  const Settings& settings_;
  std::vector<PolicyEvent>& events_;
};

}  // namespace meadowgauge
