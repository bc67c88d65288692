// The format of files shared by the processes of one balancer: a first line with the file's kind and the
// format version, the body, and a last line with a checksum over both. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace meadowgauge::hot_restart {

// Why a text was rejected.
struct TextError {
  enum class Kind : std::uint8_t {
    wrong_header,       // another kind of file, or another format version
    checksum_mismatch,  // truncated or modified
    malformed_line,     // a line of the body cannot be parsed
    expired             // too old, or dated in the future
  };
  Kind kind = Kind::wrong_header;
  std::string value{};  // the invalid line or value, if any
};

// Returns a description of the kind, for log lines.
std::string_view name_of(TextError::Kind kind);

// Adds the first and the last line to `body`. `kind` is the name of the file's kind in the first line.
std::string add_checksum(std::string_view kind, std::string_view body);
// Returns the body of a text from add_checksum(), or the reason why the text is invalid.
std::variant<std::string, TextError> verify_checksum(std::string_view kind, std::string_view text);

}  // namespace meadowgauge::hot_restart
