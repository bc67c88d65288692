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

double number(const Settings& settings, const std::string& name, double otherwise, const Logger& log) {
  auto text = string_value(settings, name);
  if (text.empty()) return otherwise;
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error == std::errc{} && end == text.data() + text.size() && std::isfinite(value)) return value;
  log(Level::warning, std::string("setting ").append(name).append(" can't be read: ").append(text));
  return otherwise;
}

std::vector<std::string> split_list(std::string_view joined) {
  std::vector<std::string> all;
  while (!joined.empty()) {
    auto one = joined.substr(0, joined.find(','));
    all.emplace_back(one);
    joined.remove_prefix(std::min(joined.size(), one.size() + 1));
  }
  return all;
}

}  // namespace setting_values

using setting_values::number;
using setting_values::split_list;
using setting_values::string_value;

namespace {

// The names of a numbered list of settings.
std::vector<std::string> names_of(const Settings& settings, const std::string& list) {
  std::vector<std::string> all;
  for (int i = 0; i < static_cast<int>(number(settings, list + ".count", 0)); ++i)
    all.emplace_back(string_value(settings, list + "." + std::to_string(i) + ".name"));
  return all;
}

RepeatRule repeat_rule(std::string_view text) {
  if (text == "idempotent") return RepeatRule::idempotent;
  return text == "deduplicated" ? RepeatRule::deduplicated : RepeatRule::never;
}

std::vector<RequestClassRules> request_class_rules(const Settings& settings, const Logger& log) {
  std::vector<RequestClassRules> all;
  for (const auto& name : names_of(settings, "path_prefixes")) {
    auto key = "path_prefixes." + std::to_string(all.size());
    all.push_back({.name = name,
                   .repeat = repeat_rule(string_value(settings, key + ".repeat")),
                   .client_timeout_ms = number(settings, key + ".client_timeout_ms", 10000, log),
                   .streamed = string_value(settings, key + ".streamed") == "true"});
  }
  return all;
}

}  // namespace

double ProxySettings::longest_client_timeout_ms() const {
  double longest = 0;
  for (const auto& rules : request_classes) longest = std::max(longest, rules.client_timeout_ms);
  return longest;
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
