// Helpers of the parsers in this folder, for tokens, numbers and lists of name=value items. Returned views
// point into the argument. The functions do not allocate or throw.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace meadowgauge::protocol {

// Compares ASCII texts without regard to case, as header names require.
[[nodiscard]] bool equals_ignoring_case(std::string_view a, std::string_view b);

// Whether `text` is a token (RFC 9110, 5.6.2). Methods and header names are tokens.
[[nodiscard]] bool is_token(std::string_view text);

// Removes the characters of `blanks` from both ends of `text`.
[[nodiscard]] std::string_view trimmed(std::string_view text, std::string_view blanks = " \t");

// Removes the first item of a comma-separated list from `list` and returns it, trimmed of `blanks`.
std::string_view take_item(std::string_view& list, std::string_view blanks = " \t");

// Whether the comma-separated `list` contains `token`, without regard to case.
[[nodiscard]] bool contains_token(std::string_view list, std::string_view token);

// One item of a list name=value,name=value.
struct NamedValue {
  std::string_view name, value;
};

// Splits `item` at its first equals sign; absent without an equals sign.
[[nodiscard]] std::optional<NamedValue> named_value(std::string_view item);

// Parses all of `text` as an integer in `base`; absent if it is not an integer or is out of the range of T.
template <class T>
[[nodiscard]] std::optional<T> parse_number(std::string_view text, int base) {
  T value{};
  const auto* end = text.data() + text.size();
  auto [stop, error] = std::from_chars(text.data(), end, value, base);
  if (error != std::errc{} || stop != end) return {};
  return value;
}

// Parses all of `text` as a decimal number, integer or floating point; absent as above.
template <class T>
[[nodiscard]] std::optional<T> parse_number(std::string_view text) {
  T value{};
  const auto* end = text.data() + text.size();
  auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc{} || stop != end) return {};
  return value;
}

}  // namespace meadowgauge::protocol
