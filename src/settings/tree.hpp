// An operator's TOML file as a tree of values with their positions. Readers record which keys were read, so
// that unknown keys can be reported. toml++ parses the syntax.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace meadowgauge::settings {

// One error and its position; line and column count from 1, and are 0 for the file as a whole.
struct Problem {
  std::string text;
  std::uint32_t line = 0;
  std::uint32_t column = 0;
};

// `file:line:column: text` or `file: text`.
std::string format_problem(const std::string& file, const Problem& problem);

// An invalid file; what() is one line with file, line, column and key.
struct BadFile : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A value of the file with its children and its position: for a table's entry that of its key. Dates and
// times are read as an empty list, which no key takes.
class Node {
 public:
  using List = std::vector<Node>;
  using Table = std::vector<std::pair<std::string, Node>>;
  std::variant<std::string, double, std::int64_t, bool, List, Table> value;
  std::uint32_t line = 0;
  std::uint32_t column = 0;
};

// Throw BadFile for an unreadable file or invalid TOML. `name` is the file's name in messages.
Node read_file(const std::string& path);
Node read_text(std::string_view text, const std::string& name);

// Reads a table: each get() marks its key as known; end() reports the other keys as problems.
class Reader {
 public:
  // Both outlive the reader. `path` is the table's name for messages.
  Reader(const Node& node, std::string path, std::vector<Problem>& problems);

  // An absent key leaves `into` unchanged. A wrong type or a number outside [min_value, max_value] is a
  // problem.
  void get(std::string_view key, std::string& into);
  void get(std::string_view key, bool& into);
  void get(std::string_view key, double& into, double min_value, double max_value);
  void get(std::string_view key, int& into, int min_value, int max_value);
  void get(std::string_view key, std::uint64_t& into);  // a whole number, or hexadecimal text
  void get(std::string_view key, std::vector<std::string>& into);
  // Text that T::parse() accepts; empty text counts as absent. T::description names the expected form in
  // messages.
  template <class T>
  void get_parsed(std::string_view key, T& into) {
    std::string text;
    get(key, text);
    if (text.empty()) return;
    if (auto value = T::parse(text))
      into = *value;
    else
      wrong(key, "is no " + std::string(T::description) + ": " + text);
  }
  // One of `words`: the enumerator whose value is its index goes into `into`.
  template <class E>
  void choose(std::string_view key, E& into, std::initializer_list<std::string_view> words) {
    int at = choice_index(key, std::vector<std::string_view>(words));
    if (at >= 0) into = static_cast<E>(at);
  }

  // Whether the key is there; does not mark it as known.
  [[nodiscard]] bool has(std::string_view key) const;
  // Calls `f` with a child table, empty if absent, so that defaults apply; or with each table of a list.
  template <class F>
  void table(std::string_view key, F&& f) {
    Reader r(below(key), name_of(key), *problems_);
    f(r);
    r.end();
  }
  template <class F>
  void each(std::string_view key, F&& f) {
    const auto* list = list_of(key);
    for (std::size_t i = 0; list && i < list->size(); ++i) {
      Reader r((*list)[i], name_of(key) + "[" + std::to_string(i) + "]", *problems_);
      f(r);
      r.end();
    }
  }

  // Reports a problem that the caller found with `key`.
  void wrong(std::string_view key, const std::string& text);
  // Reports a problem if the key is absent.
  void need(std::string_view key);
  // Reports a problem if `text`, read from `key`, is in `taken`; else adds it. Empty text is ignored.
  void require_unique(std::string_view key, const std::string& text, std::set<std::string>& taken);
  // Reports each key that was not read.
  void end();
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  const Node* take(std::string_view key);
  const Node& below(std::string_view key);
  const Node::List* list_of(std::string_view key);
  int choice_index(std::string_view key, const std::vector<std::string_view>& words);
  [[nodiscard]] std::string name_of(std::string_view key) const;
  void problem(const Node& at, std::string text);

  const Node* node_;
  std::string path_;
  std::vector<Problem>* problems_;
  std::vector<std::string> known_;
};

// Throws BadFile with the first problem by line, if any.
void throw_first_problem(const std::string& file, std::vector<Problem> problems);

}  // namespace meadowgauge::settings
