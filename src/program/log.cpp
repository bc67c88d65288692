#include "program/log.hpp"

#include <spdlog/logger.h>
#include <spdlog/sinks/ostream_sink.h>

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace meadowgauge::program {

using proxy::Level;
using proxy::LogField;

namespace {

// Indexed by the enumerators of Level and LogFormat.
constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warning", "error"};
constexpr std::array<std::string_view, 2> format_names{"text", "json"};

spdlog::level::level_enum spdlog_level(Level level) {
  switch (level) {
    case Level::debug:
      return spdlog::level::debug;
    case Level::info:
      return spdlog::level::info;
    case Level::warning:
      return spdlog::level::warn;
    case Level::error:
      break;
  }
  return spdlog::level::err;
}

template <class Enum, std::size_t size>
std::optional<Enum> parse_enum(const std::array<std::string_view, size>& names, std::string_view name) {
  for (std::size_t i = 0; i < size; ++i)
    if (names[i] == name) return static_cast<Enum>(i);
  return std::nullopt;
}

std::string to_json(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string to_json(const LogField& field) {
  if (const auto* text = std::get_if<std::string_view>(&field.value)) return to_json(*text);
  return nlohmann::json(std::get<double>(field.value)).dump();
}

// Formats the event and its fields as members of the JSON object; the pattern supplies the others.
std::string json_members(std::string_view event, std::span<const LogField> fields) {
  std::string text(R"("event":)");
  text += to_json(event);
  for (const auto& field : fields)
    text.append(",").append(to_json(field.name)).append(":").append(to_json(field));
  return text;
}

// Puts the name into the pattern, because it never changes. Percent signs are doubled: spdlog expands them.
std::string json_pattern(const std::string& name) {
  std::string escaped;
  for (const char c : to_json(name)) escaped += c == '%' ? "%%" : std::string(1, c);
  return R"({"at":"%Y-%m-%dT%H:%M:%S.%eZ","name":)" + escaped + R"(,"level":"%l",%v})";
}

}  // namespace

std::optional<Level> parse_level(std::string_view name) { return parse_enum<Level>(level_names, name); }
std::optional<LogFormat> parse_log_format(std::string_view name) {
  return parse_enum<LogFormat>(format_names, name);
}

class Log::Writer {
 public:
  Writer(std::ostream& out, Level level, LogFormat format, const std::string& name)
      : spdlog_(name, std::make_shared<spdlog::sinks::ostream_sink_st>(out, true)),
        level_(level),
        format_(format) {
    spdlog_.set_level(spdlog_level(level));
    const auto pattern = format == LogFormat::json ? json_pattern(name) : "%Y-%m-%dT%H:%M:%S.%eZ %n %l: %v";
    spdlog_.set_pattern(pattern, spdlog::pattern_time_type::utc);
  }

  [[nodiscard]] Level level() const { return level_; }

  void write(Level level, std::string_view event, std::span<const LogField> fields) {
    if (format_ == LogFormat::text) return write_line(level, event);
    write_line(level, json_members(event, fields));
  }

 private:
  // Passes the line as a string_view, so that spdlog does not parse braces in it as a format string.
  void write_line(Level level, std::string_view line) {
    spdlog_.log(spdlog_level(level), spdlog::string_view_t(line.data(), line.size()));
  }

  spdlog::logger spdlog_;
  Level level_;
  LogFormat format_;
};

Log::Log(std::ostream& out, Level level, LogFormat format, const std::string& name)
    : writer_(std::make_shared<Writer>(out, level, format, name)) {}

proxy::Logger Log::logger() const {
  return {writer_->level(),
          [writer = writer_](Level level, std::string_view event, std::span<const LogField> fields) {
            writer->write(level, event, fields);
          }};
}

}  // namespace meadowgauge::program
