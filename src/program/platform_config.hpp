// Reads the platform's configuration: the environment variables GW_NAME, GW_LISTEN, GW_DISCOVERY, GW_MGMT and
// GW_CONFIG, and the JSON file that GW_CONFIG names. Both are read again on SIGHUP.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "program/config_error.hpp"
#include "proxy/balancer.hpp"

namespace meadowgauge::program {

// Returns the value of an environment variable; no value if it is unset.
using Environment = std::function<std::optional<std::string>(const char* name)>;

// Throws ConfigError if a required part is missing or invalid. Invalid optional parts are logged and keep
// their defaults.
proxy::Setup read_platform_config(const Environment& environment, const proxy::Logger& log);

// Reads the JSON file's `text` into `setup`, which already has the values of the environment variables.
// Throws ConfigError; its fault has no file name.
void read_platform_file(std::string_view text, proxy::Setup& setup, const proxy::Logger& log);

}  // namespace meadowgauge::program
