#include "hot_restart/handover_snapshot.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <optional>
#include <utility>

namespace meadowgauge::hot_restart {

namespace {

constexpr std::string_view made_at_entry = "at";  // name on disk of the snapshot's Unix time in ms

void append_entry(std::string& body, std::string_view name, double value) {
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), " %.17g\n", value);
  body.append(name).append(text.data());
}

// Parses a name, a space and a number; no value if the line has another form.
std::optional<std::pair<std::string, double>> read_entry(std::string_view line) {
  auto space = line.rfind(' ');
  if (space == std::string_view::npos) return {};
  const char* end = line.data() + line.size();
  double value = 0;
  auto [stop, error] = std::from_chars(line.data() + space + 1, end, value);
  if (error != std::errc{} || stop != end) return {};
  return std::pair(std::string(line.substr(0, space)), value);
}

}  // namespace

std::string encode_snapshot(const LearnedState& learned, double made_at_ms) {
  std::string body;
  append_entry(body, made_at_entry, made_at_ms);
  for (const auto& [name, value] : learned) {
    bool is_writable =
        name != made_at_entry && name.find_first_of(" \n") == std::string::npos && std::isfinite(value);
    if (is_writable) append_entry(body, name, value);
  }
  return add_checksum(snapshot_file, body);
}

std::variant<LearnedState, TextError> decode_snapshot(std::string_view text, double now_ms,
                                                      double max_age_ms) {
  auto verified = verify_checksum(snapshot_file, text);
  if (const auto* error = std::get_if<TextError>(&verified)) return *error;
  LearnedState learned;
  for (std::string_view remaining = std::get<std::string>(verified); !remaining.empty();) {
    auto line = remaining.substr(0, remaining.find('\n'));
    remaining.remove_prefix(std::min(remaining.size(), line.size() + 1));
    auto entry = read_entry(line);
    if (!entry) return TextError{.kind = TextError::Kind::malformed_line, .value = std::string(line)};
    learned[entry->first] = entry->second;
  }
  auto entry = learned.find(std::string(made_at_entry));
  if (entry == learned.end())
    return TextError{.kind = TextError::Kind::malformed_line, .value = std::string(made_at_entry)};
  double made_at_ms = entry->second;
  // All processes of a balancer read the same clock, so a valid snapshot is not dated far in the future.
  if (now_ms - made_at_ms > max_age_ms || made_at_ms > now_ms + max_age_ms)
    return TextError{.kind = TextError::Kind::expired, .value = std::to_string(made_at_ms)};
  learned.erase(entry);
  return learned;
}

}  // namespace meadowgauge::hot_restart
