#include "hot_restart/checked_text.hpp"

#include <array>
#include <cstdio>

namespace meadowgauge::hot_restart {

namespace {

// 64-bit FNV-1a.
std::uint64_t checksum(std::string_view text) {
  std::uint64_t hash = 14695981039346656037ULL;
  for (char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return hash;
}

std::string header(std::string_view kind) {
  std::string line = "meadowgauge ";
  return line.append(kind).append(" 1\n");
}

std::string trailer(std::string_view text) {
  std::array<char, 40> line{};
  std::snprintf(line.data(), line.size(), "end %016llx\n", static_cast<unsigned long long>(checksum(text)));
  return line.data();
}

}  // namespace

std::string_view name_of(TextError::Kind kind) {
  switch (kind) {
    case TextError::Kind::wrong_header:
      return "wrong header";
    case TextError::Kind::checksum_mismatch:
      return "checksum mismatch";
    case TextError::Kind::malformed_line:
      return "malformed line";
    case TextError::Kind::expired:
      break;
  }
  return "expired";
}

std::string add_checksum(std::string_view kind, std::string_view body) {
  std::string text = header(kind);
  text.append(body);
  return text + trailer(text);
}

std::variant<std::string, TextError> verify_checksum(std::string_view kind, std::string_view text) {
  auto expected_header = header(kind);
  if (!text.starts_with(expected_header))
    return TextError{.kind = TextError::Kind::wrong_header,
                     .value = std::string(text.substr(0, text.find('\n')))};
  // Finds the newline before the last line; the last byte of the text is also a newline.
  auto body_end = text.size() < 2 ? std::string_view::npos : text.rfind('\n', text.size() - 2);
  if (body_end == std::string_view::npos) return TextError{.kind = TextError::Kind::checksum_mismatch};
  auto checked = text.substr(0, body_end + 1);
  auto last_line = text.substr(body_end + 1);
  if (last_line != trailer(checked))
    return TextError{.kind = TextError::Kind::checksum_mismatch, .value = std::string(last_line)};
  return std::string(checked.substr(expected_header.size()));
}

}  // namespace meadowgauge::hot_restart
