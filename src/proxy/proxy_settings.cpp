#include "proxy/proxy_settings.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace meadowgauge::proxy {

namespace setting_values {

std::string_view string_value(const Settings& settings, const std::string& name) {
  auto it = settings.find(name);
  return it == settings.end() ? std::string_view{} : std::string_view{it->second};
}

double number(const Settings& settings, const std::string& name, double fallback, const Logger& log) {
  auto text = string_value(settings, name);
  if (text.empty()) return fallback;
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error == std::errc{} && end == text.data() + text.size() && std::isfinite(value)) return value;
  log(Level::warning, std::string("setting ").append(name).append(" is not a number: ").append(text),
      {{"setting", std::string_view(name)}, {"value", text}});
  return fallback;
}

std::vector<std::string> split_list(std::string_view joined) {
  std::vector<std::string> items;
  while (!joined.empty()) {
    auto item = joined.substr(0, joined.find(','));
    items.emplace_back(item);
    joined.remove_prefix(std::min(joined.size(), item.size() + 1));
  }
  return items;
}

}  // namespace setting_values

using setting_values::number;
using setting_values::split_list;
using setting_values::string_value;

namespace {

// The names in the numbered list of settings "LIST.0.name", "LIST.1.name" and so on.
std::vector<std::string> names_of(const Settings& settings, const std::string& list) {
  std::vector<std::string> names;
  for (int i = 0; i < static_cast<int>(number(settings, list + ".count", 0)); ++i)
    names.emplace_back(string_value(settings, list + "." + std::to_string(i) + ".name"));
  return names;
}

RepeatRule repeat_rule(std::string_view text) {
  if (text == "idempotent") return RepeatRule::idempotent;
  return text == "deduplicated" ? RepeatRule::deduplicated : RepeatRule::never;
}

std::vector<RequestClassRules> request_class_rules(const Settings& settings, const Logger& log) {
  std::vector<RequestClassRules> rules;
  for (const auto& name : names_of(settings, "path_prefixes")) {
    auto key = "path_prefixes." + std::to_string(rules.size());
    rules.push_back({.name = name,
                     .repeat = repeat_rule(string_value(settings, key + ".repeat")),
                     .client_timeout_ms = number(settings, key + ".client_timeout_ms", 10000, log),
                     .streamed = string_value(settings, key + ".streamed") == "true"});
  }
  return rules;
}

}  // namespace

double ProxySettings::max_client_timeout_ms() const {
  double max_timeout_ms = 0;
  for (const auto& rules : request_classes)
    max_timeout_ms = std::max(max_timeout_ms, rules.client_timeout_ms);
  return max_timeout_ms;
}

ProxySettings read_proxy_settings(const Settings& settings, const Logger& log) {
  const ProxySettings defaults;
  return {.request_classes = request_class_rules(settings, log),
          .tenants = names_of(settings, "tenants"),
          .zones = split_list(string_value(settings, "zones")),
          .server_kinds = split_list(string_value(settings, "skus")),
          .load_report_columns = split_list(string_value(settings, "report.columns")),
          .load_probes = string_value(settings, "report.how") != "off",
          .dial_timeout_ms = number(settings, "limits.dial_timeout_ms", defaults.dial_timeout_ms, log),
          .idle_timeout_ms = number(settings, "limits.conn_idle_ms", defaults.idle_timeout_ms, log),
          .settle_ms = number(settings, "limits.settle_ms", defaults.settle_ms, log),
          .max_in_flight = number(settings, "limits.most_held", defaults.max_in_flight, log)};
}

}  // namespace meadowgauge::proxy
