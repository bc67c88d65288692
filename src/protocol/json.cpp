#include "protocol/json.hpp"

#include <charconv>
#include <cmath>

namespace meadowgauge::protocol {

// A recursive-descent parser. Its reading functions advance `position_`; they return false after a syntax
// error.
class JsonReader {
 public:
  explicit JsonReader(std::string_view text) : text_(text) {}

  // Reads exactly one value. Returns false if the text is invalid; see error().
  bool read(Json& into) {
    if (!value(into, 0)) return false;
    skip_space();
    return position_ == text_.size() || fail(JsonFault::text_after_value);
  }
  [[nodiscard]] const JsonError& error() const { return error_; }

 private:
  // The maximum nesting depth; protects the stack from malicious texts.
  static constexpr int max_depth = 64;

  bool fail(JsonFault fault) {
    if (error_.fault == JsonFault::none) error_ = {.fault = fault, .at_byte = position_};
    return false;
  }
  void skip_space() {
    while (position_ < text_.size() &&
           std::string_view(" \t\r\n").find(text_[position_]) != std::string_view::npos)
      ++position_;
  }
  // Skips white space, and consumes `c` if that is the next character.
  bool take(char c) {
    skip_space();
    if (position_ >= text_.size() || text_[position_] != c) return false;
    ++position_;
    return true;
  }
  bool literal(std::string_view name) {
    if (text_.substr(position_, name.size()) != name) return fail(JsonFault::not_a_value);
    position_ += name.size();
    return true;
  }

  bool value(Json& into, int depth) {
    if (depth > max_depth) return fail(JsonFault::nested_too_deep);
    skip_space();
    if (position_ >= text_.size()) return fail(JsonFault::truncated);
    switch (text_[position_]) {
      case '{':
        return object(into.value_.emplace<Json::Object>(), depth);
      case '[':
        return list(into.value_.emplace<Json::List>(), depth);
      case '"':
        return string(into.value_.emplace<std::string>());
      case 't':
        into.value_ = true;
        return literal("true");
      case 'f':
        into.value_ = false;
        return literal("false");
      case 'n':
        into.value_ = nullptr;
        return literal("null");
      default:
        return number(into);
    }
  }

  bool object(Json::Object& into, int depth) {
    ++position_;
    if (take('}')) return true;
    do {
      skip_space();
      auto& [name, v] = into.emplace_back();
      if (position_ >= text_.size() || text_[position_] != '"' || !string(name))
        return fail(JsonFault::missing_name);
      if (!take(':')) return fail(JsonFault::missing_colon);
      if (!value(v, depth + 1)) return false;
    } while (take(','));
    return take('}') || fail(JsonFault::unterminated_object);
  }

  bool list(Json::List& into, int depth) {
    ++position_;
    if (take(']')) return true;
    do {
      if (!value(into.emplace_back(), depth + 1)) return false;
    } while (take(','));
    return take(']') || fail(JsonFault::unterminated_list);
  }

  bool number(Json& into) {
    auto from = position_;
    double v = 0;
    auto rest = text_.substr(position_);
    auto [end, parse_error] = std::from_chars(rest.data(), rest.data() + rest.size(), v);
    // from_chars also accepts inf and nan, which are not JSON.
    if (parse_error != std::errc{} || !std::isfinite(v) ||
        (rest[0] != '-' && (rest[0] < '0' || rest[0] > '9')))
      return fail(JsonFault::not_a_value);
    position_ += static_cast<std::size_t>(end - rest.data());
    into.value_ = Json::Number{std::string(text_.substr(from, position_ - from))};
    return true;
  }

  // Reads the four hexadecimal digits of a \u escape.
  bool read_code_unit(std::uint32_t& code) {
    auto digits = text_.substr(position_, 4);
    auto [end, parse_error] = std::from_chars(digits.data(), digits.data() + digits.size(), code, 16);
    if (digits.size() < 4 || parse_error != std::errc{} || end != digits.data() + 4)
      return fail(JsonFault::invalid_unicode_escape);
    position_ += 4;
    return true;
  }

  bool string(std::string& into) {
    for (++position_; position_ < text_.size(); ++position_) {
      char c = text_[position_];
      if (c == '"') {
        ++position_;
        return true;
      }
      if (static_cast<unsigned char>(c) < 32) return fail(JsonFault::control_character);
      if (c != '\\') {
        into += c;
        continue;
      }
      if (++position_ >= text_.size()) break;
      constexpr std::string_view escapes = "\"\\/bfnrt";
      constexpr std::string_view meanings = "\"\\/\b\f\n\r\t";
      if (auto i = escapes.find(text_[position_]); i != std::string_view::npos) {
        into += meanings[i];
      } else if (text_[position_] == 'u') {
        ++position_;
        std::uint32_t code = 0;
        std::uint32_t low = 0;
        if (!read_code_unit(code)) return false;
        if (code >= 0xD800 && code < 0xDC00 && text_.substr(position_, 2) == "\\u") {
          position_ += 2;
          if (!read_code_unit(low)) return false;
          code = 0x10000 + ((code - 0xD800) << 10) + (low - 0xDC00);
        }
        append_utf8(code, into);
        --position_;
      } else {
        return fail(JsonFault::invalid_escape);
      }
    }
    return fail(JsonFault::unterminated_string);
  }

  // Appends `code` to `into`, encoded in UTF-8.
  static void append_utf8(std::uint32_t code, std::string& into) {
    auto append_byte = [&](std::uint32_t b) { into += static_cast<char>(b); };
    if (code < 0x80) return append_byte(code);
    if (code < 0x800) {
      append_byte(0xC0 | code >> 6);
    } else if (code < 0x10000) {
      append_byte(0xE0 | code >> 12);
      append_byte(0x80 | (code >> 6 & 0x3F));
    } else {
      append_byte(0xF0 | (code >> 18 & 7));
      append_byte(0x80 | (code >> 12 & 0x3F));
      append_byte(0x80 | (code >> 6 & 0x3F));
    }
    append_byte(0x80 | (code & 0x3F));
  }

  std::string_view text_;
  std::size_t position_ = 0;
  JsonError error_;
};

namespace {

std::string_view text_of(JsonFault fault) {
  switch (fault) {
    case JsonFault::none:
      return "no error";
    case JsonFault::text_after_value:
      return "text after the value";
    case JsonFault::not_a_value:
      return "not a value";
    case JsonFault::nested_too_deep:
      return "nested too deep";
    case JsonFault::truncated:
      return "truncated";
    case JsonFault::missing_name:
      return "missing name";
    case JsonFault::missing_colon:
      return "missing colon";
    case JsonFault::unterminated_object:
      return "unterminated object";
    case JsonFault::unterminated_list:
      return "unterminated list";
    case JsonFault::unterminated_string:
      return "unterminated string";
    case JsonFault::invalid_unicode_escape:
      return "invalid \\u escape";
    case JsonFault::invalid_escape:
      return "invalid escape";
    case JsonFault::control_character:
      return "control character in a string";
  }
  return "";
}

}  // namespace

std::string message(const JsonError& error) {
  return std::string(text_of(error.fault)) + " at byte " + std::to_string(error.at_byte);
}

Json::Json() = default;

std::optional<Json> Json::parse(std::string_view text, JsonError* error) {
  JsonReader reader(text);
  std::optional<Json> value(std::in_place);
  if (reader.read(*value)) return value;
  if (error) *error = reader.error();
  return {};
}

const Json* Json::find(std::string_view name) const {
  if (const auto* o = object())
    for (const auto& [n, v] : *o)
      if (n == name) return &v;
  return nullptr;
}

std::optional<double> Json::number() const {
  const auto* n = std::get_if<Number>(&value_);
  if (!n) return {};
  double v = 0;
  std::from_chars(n->text.data(), n->text.data() + n->text.size(), v);
  return v;
}

std::optional<bool> Json::truth() const {
  if (const auto* b = std::get_if<bool>(&value_)) return *b;
  return {};
}

std::string Json::plain() const {
  if (const auto* b = std::get_if<bool>(&value_)) return *b ? "true" : "false";
  if (const auto* n = std::get_if<Number>(&value_)) return n->text;
  std::string s;
  if (const auto* t = text())
    for (char c : *t) s += c == ' ' || c == ',' ? '_' : c;
  return s;
}

}  // namespace meadowgauge::protocol
