#include "protocol/text.hpp"

#include <algorithm>

namespace meadowgauge::protocol {
namespace {

char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool is_token_char(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

}  // namespace

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return to_lower(x) == to_lower(y); });
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_char);
}

std::string_view trimmed(std::string_view text, std::string_view blanks) {
  auto first = text.find_first_not_of(blanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

std::string_view take_item(std::string_view& list, std::string_view blanks) {
  auto item = list.substr(0, list.find(','));
  list.remove_prefix(std::min(list.size(), item.size() + 1));
  return trimmed(item, blanks);
}

bool contains_token(std::string_view list, std::string_view token) {
  while (!list.empty())
    if (equals_ignoring_case(take_item(list), token)) return true;
  return false;
}

std::optional<NamedValue> named_value(std::string_view item) {
  auto equals_sign = item.find('=');
  if (equals_sign == std::string_view::npos) return {};
  return NamedValue{item.substr(0, equals_sign), item.substr(equals_sign + 1)};
}

}  // namespace meadowgauge::protocol
