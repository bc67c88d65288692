// Reads single settings. It decides nothing.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "policy/policy_event.hpp"
#include "policy/types.hpp"

namespace meadowgauge {

// Both arguments of the constructor must outlive it.
class SettingsReader {
 public:
  // A value that is not a finite number adds an event and counts as absent.
  SettingsReader(const Settings& settings, std::vector<PolicyEvent>& events)
      : settings_(settings), events_(events) {}

  // Empty where the setting is absent.
  [[nodiscard]] std::string_view text(std::string_view key) const;
  [[nodiscard]] bool flag(std::string_view key) const { return text(key) == "true"; }
  // The setting as a finite number, or `otherwise` where it is absent or is none.
  double number(const std::string& key, double otherwise);
  // Items of a comma-separated list, at least one.
  [[nodiscard]] double item_count(std::string_view key) const;
  // Column of `name` in load reports that are sent in the way `how`; -1: they don't have it.
  [[nodiscard]] int report_column(std::string_view how, std::string_view name) const;

 private:
  const Settings& settings_;
  std::vector<PolicyEvent>& events_;
};

}  // namespace meadowgauge
