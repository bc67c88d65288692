// A JSON parser, and the conversion of JSON values to settings.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace meadowgauge::protocol {

// Why a text is not a JSON value.
enum class JsonFault : std::uint8_t {
  none,
  text_after_value,
  not_a_value,
  nested_too_deep,
  truncated,
  missing_name,
  missing_colon,
  unterminated_object,
  unterminated_list,
  unterminated_string,
  invalid_unicode_escape,
  invalid_escape,
  control_character
};

// The first error of a text, with its byte offset.
struct JsonError {
  JsonFault fault = JsonFault::none;
  std::size_t at_byte = 0;
};

// Formats the error as "FAULT at byte N", for logs.
std::string message(const JsonError& error);

// One JSON value. Owns its members and elements.
class Json {
 public:
  using List = std::vector<Json>;
  using Object = std::vector<std::pair<std::string, Json>>;
  struct Number {
    std::string text;  // as in the source, so that settings keep its digits
  };

  // Constructs a null. Defined in the source file, because clang checks an implicit constructor while the
  // variant's alternatives are incomplete, and then treats it as deleted.
  Json();

  // Parses `text`. If it is not exactly one JSON value, returns nothing and fills `error`, unless that is
  // null.
  static std::optional<Json> parse(std::string_view text, JsonError* error = nullptr);

  // The first member named `name`; null if there is none or this is not an object.
  [[nodiscard]] const Json* find(std::string_view name) const;
  // The value of the given type; null or absent if this has another type.
  [[nodiscard]] const Object* object() const { return std::get_if<Object>(&value_); }
  [[nodiscard]] const List* list() const { return std::get_if<List>(&value_); }
  [[nodiscard]] const std::string* text() const { return std::get_if<std::string>(&value_); }
  [[nodiscard]] std::optional<double> number() const;
  [[nodiscard]] std::optional<bool> truth() const;
  // A scalar as the text of a setting: spaces and commas of a string become underscores. Empty for null,
  // objects and lists.
  [[nodiscard]] std::string plain() const;
  [[nodiscard]] bool is_scalar() const { return object() == nullptr && list() == nullptr; }

 private:
  friend class JsonReader;
  std::variant<std::nullptr_t, bool, Number, std::string, List, Object> value_ = nullptr;
};

// Adds `value` to `into` as settings, from paths to texts. Names of nested objects are joined by dots and
// scalars in a list by commas. A list with nested values becomes PATH.count, PATH.0, PATH.1 and so on.
template <class Map>
void flatten(const Json& value, const std::string& path, Map& into) {
  auto below = [&](std::string_view name) {
    return path.empty() ? std::string(name) : path + "." + std::string(name);
  };
  if (const auto* object = value.object()) {
    for (const auto& [name, v] : *object) flatten(v, below(name), into);
  } else if (const auto* list = value.list()) {
    bool nested = false;
    std::string joined;
    for (const auto& v : *list) {
      nested = nested || !v.is_scalar();
      joined.append(joined.empty() ? "" : ",").append(v.plain());
    }
    if (!nested) {
      into.insert_or_assign(path, joined);
      return;
    }
    into.insert_or_assign(below("count"), std::to_string(list->size()));
    for (std::size_t i = 0; i < list->size(); ++i) flatten((*list)[i], below(std::to_string(i)), into);
  } else {
    into.insert_or_assign(path, value.plain());
  }
}

}  // namespace meadowgauge::protocol
