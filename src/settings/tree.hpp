// Reads an operator's TOML file as a tree of values with their positions. A Reader records which keys were
// read, so that unknown keys are reported. toml++ parses the syntax.
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

// One error and its position. Line and column count from 1; both are 0 for an error of the whole file.
struct Problem {
  std::string text;
  std::uint32_t line = 0;
  std::uint32_t column = 0;
};

// Formats a problem as `file:line:column: text` or, without a position, as `file: text`.
std::string format_problem(const std::string& file, const Problem& problem);

// Thrown for an unreadable or invalid file; what() is a problem formatted by format_problem().
struct BadFile : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A value of the file with its children and its position. The position of a table's entry is that of its key.
// Dates and times are read as an empty list; no key has such a value.
class Node {
 public:
  using List = std::vector<Node>;
  using Table = std::vector<std::pair<std::string, Node>>;
  std::variant<std::string, double, std::int64_t, bool, List, Table> value;
  std::uint32_t line = 0;
  std::uint32_t column = 0;
};

// Parse a file or a text. Throw BadFile if the file is unreadable or not valid TOML. `name` is the file's
// name in messages.
Node read_file(const std::string& path);
Node read_text(std::string_view text, const std::string& name);

// Reads one table. Every function that reads a key marks it as known; end() reports the other keys as
// unknown.
class Reader {
 public:
  // `node` and `problems` outlive the reader. `path` is the table's name in messages.
  Reader(const Node& node, std::string path, std::vector<Problem>& problems);

  // Reads the value of `key`. If the key is absent, the output is unchanged. A wrong type or a number outside
  // [min_value, max_value] is reported as a problem.
  void get(std::string_view key, std::string& output);
  void get(std::string_view key, bool& output);
  void get(std::string_view key, double& output, double min_value, double max_value);
  void get(std::string_view key, int& output, int min_value, int max_value);
  void get(std::string_view key, std::uint64_t& output);  // an integer, or a hexadecimal string
  void get(std::string_view key, std::vector<std::string>& output);
  // Reads a string with T::parse(); an empty string counts as absent. T::description names the expected form
  // in messages.
  template <class T>
  void get_parsed(std::string_view key, T& output) {
    std::string text;
    get(key, text);
    if (text.empty()) return;
    if (auto value = T::parse(text))
      output = *value;
    else
      report_problem(key, "is not a valid " + std::string(T::description) + ": " + text);
  }
  // Reads one of `choices`. The output is the enumerator whose value is the index of the word.
  template <class E>
  void choose(std::string_view key, E& output, std::initializer_list<std::string_view> choices) {
    int at = find_choice(key, std::vector<std::string_view>(choices));
    if (at >= 0) output = static_cast<E>(at);
  }

  // Returns whether the key is present; does not mark it as known.
  [[nodiscard]] bool has(std::string_view key) const;
  // Reads a child table with a reader of its own. An absent table is read as an empty one, so that defaults
  // apply.
  template <class F>
  void table(std::string_view key, F&& read_table) {
    Reader reader(child_table(key), full_key(key), *problems_);
    read_table(reader);
    reader.end();
  }
  // Reads each table of a list of tables with a reader of its own.
  template <class F>
  void each(std::string_view key, F&& read_table) {
    const auto* list = find_list(key);
    for (std::size_t i = 0; list && i < list->size(); ++i) {
      Reader reader((*list)[i], full_key(key) + "[" + std::to_string(i) + "]", *problems_);
      read_table(reader);
      reader.end();
    }
  }

  // Reports a problem with `key` that the caller has found. `text` follows the key's name in the message.
  void report_problem(std::string_view key, const std::string& text);
  // Reports a problem if the key is absent.
  void require_key(std::string_view key);
  // Reports a problem if `text`, read from `key`, is in `taken`; else adds it. Ignores an empty text.
  void require_unique(std::string_view key, const std::string& text, std::set<std::string>& taken);
  // Reports each key of the table that is not marked as known.
  void end();
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  const Node* find_and_mark(std::string_view key);
  const Node& child_table(std::string_view key);
  const Node::List* find_list(std::string_view key);
  int find_choice(std::string_view key, const std::vector<std::string_view>& choices);
  [[nodiscard]] std::string full_key(std::string_view key) const;
  void problem(const Node& at, std::string text);

  const Node* node_;
  std::string path_;
  std::vector<Problem>* problems_;
  std::vector<std::string> known_;
};

// Throws BadFile with the first problem by line and column, if there is one.
void throw_first_problem(const std::string& file, std::vector<Problem> problems);

}  // namespace meadowgauge::settings
