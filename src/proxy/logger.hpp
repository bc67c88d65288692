// Logger for lines with named fields. The program provides the sink.
#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <span>
#include <string_view>
#include <utility>
#include <variant>

namespace meadowgauge::proxy {

enum class Level : std::uint8_t { debug, info, warning, error };

// A named value of a log line. Does not own its text.
struct LogField {
  std::string_view name;
  std::variant<std::string_view, double> value;
};

// Passes log lines to a sink. A default-constructed logger drops all lines.
class Logger {
 public:
  using Sink = std::function<void(Level, std::string_view, std::span<const LogField>)>;

  Logger() = default;
  // Drops lines below `min_level`. Callers check wants() before they format an expensive line.
  Logger(Level min_level, Sink sink) : min_level_(min_level), sink_(std::move(sink)) {}

  [[nodiscard]] bool wants(Level level) const { return sink_ && level >= min_level_; }
  void operator()(Level level, std::string_view line, std::initializer_list<LogField> fields = {}) const {
    if (wants(level)) sink_(level, line, std::span(fields.begin(), fields.size()));
  }

 private:
  Level min_level_ = Level::debug;
  Sink sink_;
};

}  // namespace meadowgauge::proxy
