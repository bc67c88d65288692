// The text of the admin protocol: parses one command line, formats the metrics. Values only, no I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "proxy/metrics.hpp"

namespace meadowgauge::admin {

// In bytes, without the end of line.
inline constexpr std::size_t max_command_length = 256;

// One command of an operator.
struct Command {
  enum class Kind : std::uint8_t { health, dump, offline, online };
  Kind kind = Kind::health;
  std::string server_id;  // of offline and online; empty for the others
};

// Why a line is not a command.
enum class CommandError : std::uint8_t {
  not_text,
  unknown_command,
  needs_one_server_id,
  unexpected_argument
};

// The error in a few words, as the protocol sends it after `fail`.
std::string_view describe(CommandError error);

// Parses `line`, given without its `\n`; one `\r` and spaces at its end are ignored. Names of commands
// are in upper case.
std::variant<Command, CommandError> parse_command(std::string_view line);

// The metrics as `DUMP` sends them: `balancer.NAME:VALUE|KIND`, one per line (kind c: counter, g: gauge),
// then a line `eof`.
std::string format_metrics(const proxy::Metrics& metrics);

}  // namespace meadowgauge::admin
