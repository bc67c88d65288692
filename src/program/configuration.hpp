// Selects the source of the configuration: the operator's file if `--config` is given, else the platform's
// environment variables and JSON file.
#pragma once

#include <optional>
#include <string>

#include "program/options.hpp"
#include "proxy/balancer.hpp"

namespace meadowgauge::program {

// The value of an environment variable of this process; no value if it is unset.
std::optional<std::string> environment_variable(const char* name);

// Reads the configuration at startup and on each reload. Logs invalid optional parts of the platform's file
// to `log`. Throws ConfigError or settings::BadFile.
proxy::Setup read_configuration(const Options& options, const proxy::Logger& log);

}  // namespace meadowgauge::program
