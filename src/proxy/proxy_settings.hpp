// The proxy's settings as one typed struct. The policy reads its own settings.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "policy/types.hpp"
#include "proxy/logger.hpp"
#include "proxy/request/admission.hpp"

namespace meadowgauge::proxy {

// Settings of the proxy, except the policy's. The initial values are the defaults.
struct ProxySettings {
  std::vector<RequestClassRules> request_classes;
  // Names, which other modules refer to by index.
  std::vector<std::string> tenants;
  std::vector<std::string> zones;
  std::vector<std::string> server_kinds;
  std::vector<std::string> load_report_columns;  // empty: responses carry no load reports
  bool load_probes = true;                       // probes request a load report, not only health
  double dial_timeout_ms = 1000;
  double idle_timeout_ms = 30000;  // upstreams close connections that are idle for this time
  double settle_ms = 20;           // minimum time between a response and the connection's next request
  double max_in_flight = 20000;    // limit of requests in flight

  // The maximum over all request classes; 0 if there are none.
  [[nodiscard]] double max_client_timeout_ms() const;
};

// Never fails: a malformed number is logged, and its default is used.
ProxySettings read_proxy_settings(const Settings& settings, const Logger& log);

// Reads single values of the settings, by key.
namespace setting_values {

// The setting's text, a view of `settings`; empty if absent.
std::string_view string_value(const Settings& settings, const std::string& name);
// The setting's number; `fallback` if the setting is absent or malformed. A malformed value is logged.
double number(const Settings& settings, const std::string& name, double fallback,
              const Logger& log = Logger());
// The items of a comma-separated list.
std::vector<std::string> split_list(std::string_view joined);

}  // namespace setting_values

}  // namespace meadowgauge::proxy
