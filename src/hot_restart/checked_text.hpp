// The format of the files that the processes of one balancer share: a first line with the file's kind and
// version, the body, and a last line with a checksum over both. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace meadowgauge::hot_restart {

// Why a text was rejected.
struct TextError {
  enum class Kind : std::uint8_t {
    wrong_header,       // another kind of file, or another version
    checksum_mismatch,  // truncated or changed
    malformed_line,     // a line of the body has the wrong form
    expired             // too old, or dated in the future
  };
  Kind kind = Kind::wrong_header;
  std::string value{};  // the wrong line, where there is one
};

// The kind of error in words, for the log.
std::string_view name_of(TextError::Kind kind);

// `kind` is the stored name of the file's kind.
std::string add_checksum(std::string_view kind, std::string_view body);
// The body of a text from add_checksum(), or why the text is not one.
std::variant<std::string, TextError> verify_checksum(std::string_view kind, std::string_view text);

}  // namespace meadowgauge::hot_restart
