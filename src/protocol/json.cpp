#include "protocol/json.hpp"

#include <charconv>
#include <cmath>

namespace meadowgauge::protocol {

class JsonReader {
 public:
  explicit JsonReader(std::string_view text) : text_(text) {}

  // Reads exactly one value. False: the text is invalid, see error().
  bool read(Json& into) {
    if (!value(into, 0)) return false;
    skip_space();
    return at_ == text_.size() || fail(JsonFault::text_after_value);
  }
  [[nodiscard]] const JsonError& error() const { return error_; }

 private:
  // Levels of nesting; the bound protects the stack from hostile texts.
  static constexpr int max_depth = 64;

  bool fail(JsonFault fault) {
    if (error_.fault == JsonFault::none) error_ = {.fault = fault, .at_byte = at_};
    return false;
  }
  void skip_space() {
    while (at_ < text_.size() && std::string_view(" \t\r\n").find(text_[at_]) != std::string_view::npos)
      ++at_;
  }
  bool take(char c) {
    skip_space();
    if (at_ >= text_.size() || text_[at_] != c) return false;
    ++at_;
    return true;
  }
  bool literal(std::string_view name) {
    if (text_.substr(at_, name.size()) != name) return fail(JsonFault::not_a_value);
    at_ += name.size();
    return true;
  }

  bool value(Json& into, int depth) {
    if (depth > max_depth) return fail(JsonFault::nested_too_deep);
    skip_space();
    if (at_ >= text_.size()) return fail(JsonFault::truncated);
    switch (text_[at_]) {
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
    ++at_;
    if (take('}')) return true;
    do {
      skip_space();
      auto& [name, v] = into.emplace_back();
      if (at_ >= text_.size() || text_[at_] != '"' || !string(name)) return fail(JsonFault::missing_name);
      if (!take(':')) return fail(JsonFault::missing_colon);
      if (!value(v, depth + 1)) return false;
    } while (take(','));
    return take('}') || fail(JsonFault::unterminated_object);
  }

  bool list(Json::List& into, int depth) {
    ++at_;
    if (take(']')) return true;
    do {
      if (!value(into.emplace_back(), depth + 1)) return false;
    } while (take(','));
    return take(']') || fail(JsonFault::unterminated_list);
  }

  bool number(Json& into) {
    auto from = at_;
    double v = 0;
    auto rest = text_.substr(at_);
    auto [end, bad] = std::from_chars(rest.data(), rest.data() + rest.size(), v);
    // from_chars also accepts inf and nan, which are not JSON.
    if (bad != std::errc{} || !std::isfinite(v) || (rest[0] != '-' && (rest[0] < '0' || rest[0] > '9')))
      return fail(JsonFault::not_a_value);
    at_ += static_cast<std::size_t>(end - rest.data());
    into.value_ = Json::Number{std::string(text_.substr(from, at_ - from))};
    return true;
  }

  bool four_hex(std::uint32_t& code) {
    auto digits = text_.substr(at_, 4);
    auto [end, bad] = std::from_chars(digits.data(), digits.data() + digits.size(), code, 16);
    if (digits.size() < 4 || bad != std::errc{} || end != digits.data() + 4)
      return fail(JsonFault::invalid_unicode_escape);
    at_ += 4;
    return true;
  }

  bool string(std::string& into) {
    for (++at_; at_ < text_.size(); ++at_) {
      char c = text_[at_];
      if (c == '"') {
        ++at_;
        return true;
      }
      if (static_cast<unsigned char>(c) < 32) return fail(JsonFault::control_character);
      if (c != '\\') {
        into += c;
        continue;
      }
      if (++at_ >= text_.size()) break;
      constexpr std::string_view escapes = "\"\\/bfnrt";
      constexpr std::string_view meanings = "\"\\/\b\f\n\r\t";
      if (auto i = escapes.find(text_[at_]); i != std::string_view::npos) {
        into += meanings[i];
      } else if (text_[at_] == 'u') {
        ++at_;
        std::uint32_t code = 0;
        std::uint32_t low = 0;
        if (!four_hex(code)) return false;
        if (code >= 0xD800 && code < 0xDC00 && text_.substr(at_, 2) == "\\u") {
          at_ += 2;
          if (!four_hex(low)) return false;
          code = 0x10000 + ((code - 0xD800) << 10) + (low - 0xDC00);
        }
        utf8(code, into);
        --at_;
      } else {
        return fail(JsonFault::invalid_escape);
      }
    }
    return fail(JsonFault::unterminated_string);
  }

  static void utf8(std::uint32_t code, std::string& into) {
    auto put = [&](std::uint32_t b) { into += static_cast<char>(b); };
    if (code < 0x80) return put(code);
    if (code < 0x800) {
      put(0xC0 | code >> 6);
    } else if (code < 0x10000) {
      put(0xE0 | code >> 12);
      put(0x80 | (code >> 6 & 0x3F));
    } else {
      put(0xF0 | (code >> 18 & 7));
      put(0x80 | (code >> 12 & 0x3F));
      put(0x80 | (code >> 6 & 0x3F));
    }
    put(0x80 | (code & 0x3F));
  }

  std::string_view text_;
  std::size_t at_ = 0;
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
