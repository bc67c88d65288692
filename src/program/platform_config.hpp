// The platform's configuration: environment variables at the start (GW_NAME, GW_LISTEN, GW_DISCOVERY,
// GW_MGMT, GW_CONFIG) and the JSON file that GW_CONFIG names; both are read again on SIGHUP.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "program/config_error.hpp"
#include "proxy/balancer.hpp"

namespace meadowgauge::program {

// The value of an environment variable; no value where it is unset.
using Environment = std::function<std::optional<std::string>(const char* name)>;

// Throws ConfigError. Invalid optional parts are logged and keep their defaults.
proxy::Setup read_platform_config(const Environment& environment, const proxy::Logger& log);

// Reads the JSON file's `text` into a setup that has the variables' values. Throws ConfigError without the
// file's name.
void read_platform_file(std::string_view text, proxy::Setup& setup, const proxy::Logger& log);

}  // namespace meadowgauge::program
