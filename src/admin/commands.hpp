// The text of the admin protocol: parses command lines and formats metrics. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "proxy/metrics.hpp"

namespace meadowgauge::admin {

// Maximum length of a command line in bytes, without the end of line.
inline constexpr std::size_t max_command_length = 256;

// One parsed command.
struct Command {
  enum class Kind : std::uint8_t { health, dump, offline, online };
  Kind kind = Kind::health;
  std::string server_id;  // argument of offline and online; empty for other commands
};

// The reason why a line was rejected.
enum class CommandError : std::uint8_t {
  not_text,
  unknown_command,
  needs_one_server_id,
  unexpected_argument
};

// Returns the text that the reply has after `fail`.
std::string_view describe(CommandError error);

// Parses `line`, which does not include the `\n`. One trailing `\r` and trailing spaces are ignored. Command
// names are case-sensitive.
std::variant<Command, CommandError> parse_command(std::string_view line);

// Formats the reply to `DUMP`: one line `balancer.NAME:VALUE|KIND` per metric (KIND c: counter, g: gauge),
// then a line `eof`.
std::string format_metrics(const proxy::Metrics& metrics);

}  // namespace meadowgauge::admin
