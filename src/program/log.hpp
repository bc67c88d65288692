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

// The name in log lines if the name of the process is unknown.
inline constexpr const char* unknown_name = "-";

// The format of a log line; see Log.
enum class LogFormat : std::uint8_t { text, json };

// Parse command-line values; no value if the name is unknown.
std::optional<proxy::Level> parse_level(std::string_view name);
std::optional<LogFormat> parse_log_format(std::string_view name);

// Writes log lines to a stream; times are UTC and each line is flushed. Text format:
// `2026-12-01T13:00:00.000Z NAME info: line`. JSON format: {"at":...,"name":...,"level":...,"event":line}
// with the line's fields as further members; invalid UTF-8 is replaced.
class Log {
 public:
  // Writes events of `level` and above. `out` outlives the log and all loggers created from it.
  Log(std::ostream& out, proxy::Level level, LogFormat format, const std::string& name);
  // The logger shares the writer and may outlive the log.
  [[nodiscard]] proxy::Logger logger() const;

 private:
  class Writer;
  std::shared_ptr<Writer> writer_;
};

}  // namespace meadowgauge::program
