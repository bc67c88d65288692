// The log: one event per line on a stream, as text or as JSON with named fields, through spdlog.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

#include "proxy/logger.hpp"

namespace meadowgauge::program {

// The name in log lines while the process's name is unknown.
inline constexpr const char* nameless = "-";

// How a line is written; see Log.
enum class LogFormat : std::uint8_t { text, json };

// Parse the names on the command line; no value for other names.
std::optional<proxy::Level> parse_level(std::string_view name);
std::optional<LogFormat> parse_log_format(std::string_view name);

// Text: `2026-12-01T13:00:00.000Z NAME info: line`. JSON: {"at":...,"name":...,"level":...,"event":line, and
// the line's fields}; bytes that are not UTF-8 are replaced. Times are UTC. Each line is flushed.
class Log {
 public:
  // Writes events of `level` and above. `out` outlives the log and all loggers from it.
  Log(std::ostream& out, proxy::Level level, LogFormat format, const std::string& name);
  // The logger shares the writer and may outlive the log.
  [[nodiscard]] proxy::Logger logger() const;

 private:
  class Writer;
  std::shared_ptr<Writer> writer_;
};

}  // namespace meadowgauge::program
