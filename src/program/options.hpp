// The parsed command line.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "program/log.hpp"
#include "proxy/logger.hpp"

namespace meadowgauge::program {

// The action that the command line selects.
enum class Subcommand : std::uint8_t { serve, check, version, help };

// Defaults apply to options that are absent.
struct Options {
  Subcommand subcommand = Subcommand::serve;
  std::string config_file;  // path of the TOML file; empty: use the platform's environment variables
  proxy::Level log_level = proxy::Level::info;
  LogFormat log_format = LogFormat::text;
  // Drain time after SIGTERM, in ms; absent: the maximum client timeout, up to a bound.
  std::optional<unsigned> shutdown_delay_ms;
};

}  // namespace meadowgauge::program
