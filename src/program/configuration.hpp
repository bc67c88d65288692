// Selects the source of the configuration: the operator's file where `--config` names it, the platform's
// environment and file otherwise.
#pragma once

#include <optional>
#include <string>

#include "program/options.hpp"
#include "proxy/balancer.hpp"

namespace meadowgauge::program {

// A variable of this process's environment; no value where it is unset.
std::optional<std::string> environment_variable(const char* name);

// Reads the configuration, at startup and on each reload. Throws ConfigError or settings::BadFile.
proxy::Setup read_configuration(const Options& options, const proxy::Logger& log);

}  // namespace meadowgauge::program
