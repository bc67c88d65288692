#include "settings/tree.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>

namespace meadowgauge::settings {
namespace {

Node convert(const toml::node& node) {
  Node result;
  result.line = node.source().begin.line;
  result.column = node.source().begin.column;
  if (const auto* entries = node.as_table()) {
    Node::Table children;
    for (const auto& [key, value] : *entries) {
      auto& [name, child] = children.emplace_back(std::string(key.str()), convert(value));
      // Problems report the position of the key, not of its value.
      if (key.source().begin.line > 0) {
        child.line = key.source().begin.line;
        child.column = key.source().begin.column;
      }
    }
    std::stable_sort(children.begin(), children.end(), [](const auto& a, const auto& b) {
      return std::pair(a.second.line, a.second.column) < std::pair(b.second.line, b.second.column);
    });
    result.value = std::move(children);
  } else if (const auto* list = node.as_array()) {
    Node::List items;
    for (const auto& item : *list) items.push_back(convert(item));
    result.value = std::move(items);
  } else if (auto text = node.value_exact<std::string>()) {
    result.value = *text;
  } else if (auto integer = node.value_exact<std::int64_t>()) {
    result.value = *integer;
  } else if (auto number = node.value_exact<double>()) {
    result.value = *number;
  } else if (auto boolean = node.value_exact<bool>()) {
    result.value = *boolean;
  } else {  // dates and times are not supported: readers of scalars report a wrong type
    result.value = Node::List{};
  }
  return result;
}

std::string format_bound(double bound) {
  std::ostringstream text;
  text << bound;
  return text.str();
}

}  // namespace

std::string format_problem(const std::string& file, const Problem& problem) {
  if (problem.line == 0) return file + ": " + problem.text;
  return file + ":" + std::to_string(problem.line) + ":" + std::to_string(problem.column) + ": " +
         problem.text;
}

Node read_text(std::string_view text, const std::string& name) {
  try {
    return convert(toml::parse(text, name));
  } catch (const toml::parse_error& error) {
    throw BadFile(format_problem(name, {std::string(error.description()), error.source().begin.line,
                                        static_cast<std::uint32_t>(error.source().begin.column)}));
  }
}

Node read_file(const std::string& path) {
  try {
    return convert(toml::parse_file(path));
  } catch (const toml::parse_error& error) {
    throw BadFile(format_problem(path, {std::string(error.description()), error.source().begin.line,
                                        static_cast<std::uint32_t>(error.source().begin.column)}));
  }
}

Reader::Reader(const Node& node, std::string path, std::vector<Problem>& problems)
    : node_(&node), path_(std::move(path)), problems_(&problems) {
  if (!std::holds_alternative<Node::Table>(node.value)) problem(node, path_ + " is not a table");
}

std::string Reader::full_key(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

void Reader::problem(const Node& at, std::string text) {
  problems_->push_back({std::move(text), at.line, at.column});
}

const Node* Reader::find_and_mark(std::string_view key) {
  known_.emplace_back(key);
  const auto* entries = std::get_if<Node::Table>(&node_->value);
  if (!entries) return nullptr;
  for (const auto& [name, child] : *entries)
    if (name == key) return &child;
  return nullptr;
}

bool Reader::has(std::string_view key) const {
  const auto* entries = std::get_if<Node::Table>(&node_->value);
  return entries != nullptr &&
         std::any_of(entries->begin(), entries->end(), [&](const auto& c) { return c.first == key; });
}

const Node& Reader::child_table(std::string_view key) {
  static const Node empty{Node::Table{}, 0, 0};
  const auto* node = find_and_mark(key);
  return node ? *node : empty;
}

const Node::List* Reader::find_list(std::string_view key) {
  const auto* node = find_and_mark(key);
  if (!node) return nullptr;
  const auto* list = std::get_if<Node::List>(&node->value);
  if (!list) problem(*node, full_key(key) + " is not a list of tables");
  return list;
}

void Reader::get(std::string_view key, std::string& output) {
  const auto* node = find_and_mark(key);
  if (!node) return;
  if (const auto* s = std::get_if<std::string>(&node->value))
    output = *s;
  else
    problem(*node, full_key(key) + " is not a string");
}

void Reader::get(std::string_view key, bool& output) {
  const auto* node = find_and_mark(key);
  if (!node) return;
  if (const auto* b = std::get_if<bool>(&node->value))
    output = *b;
  else
    problem(*node, full_key(key) + " is neither true nor false");
}

void Reader::get(std::string_view key, double& output, double min_value, double max_value) {
  const auto* node = find_and_mark(key);
  if (!node) return;
  double value = std::nan("");
  if (const auto* d = std::get_if<double>(&node->value)) value = *d;
  if (const auto* i = std::get_if<std::int64_t>(&node->value)) value = static_cast<double>(*i);
  if (std::isnan(value))
    problem(*node, full_key(key) + " is not a number");
  else if (value < min_value || value > max_value)
    problem(*node,
            full_key(key) + " is not between " + format_bound(min_value) + " and " + format_bound(max_value));
  else
    output = value;
}

void Reader::get(std::string_view key, int& output, int min_value, int max_value) {
  const auto* node = find_and_mark(key);
  if (!node) return;
  const auto* i = std::get_if<std::int64_t>(&node->value);
  if (!i)
    problem(*node, full_key(key) + " is not an integer");
  else if (*i < min_value || *i > max_value)
    problem(*node, full_key(key) + " is not between " + std::to_string(min_value) + " and " +
                       std::to_string(max_value));
  else
    output = static_cast<int>(*i);
}

void Reader::get(std::string_view key, std::uint64_t& output) {
  const auto* node = find_and_mark(key);
  if (!node) return;
  if (const auto* i = std::get_if<std::int64_t>(&node->value); i && *i >= 0) {
    output = static_cast<std::uint64_t>(*i);
    return;
  }
  if (const auto* s = std::get_if<std::string>(&node->value)) {
    auto [end, error_code] = std::from_chars(s->data(), s->data() + s->size(), output, 16);
    if (error_code == std::errc{} && end == s->data() + s->size()) return;
  }
  problem(*node, full_key(key) + " is neither a non-negative integer nor a hexadecimal string");
}

void Reader::get(std::string_view key, std::vector<std::string>& output) {
  const auto* node = find_and_mark(key);
  if (!node) return;
  const auto* list = std::get_if<Node::List>(&node->value);
  if (!list) return problem(*node, full_key(key) + " is not a list");
  std::vector<std::string> texts;
  for (const auto& item : *list) {
    const auto* s = std::get_if<std::string>(&item.value);
    if (!s) return problem(item, full_key(key) + " contains a value that is not a string");
    texts.push_back(*s);
  }
  output = std::move(texts);
}

int Reader::find_choice(std::string_view key, const std::vector<std::string_view>& choices) {
  const auto* node = find_and_mark(key);
  if (!node) return -1;
  std::string allowed;
  const auto* s = std::get_if<std::string>(&node->value);
  for (std::size_t i = 0; i < choices.size(); ++i) {
    if (s && *s == choices[i]) return static_cast<int>(i);
    allowed.append(allowed.empty() ? "" : i + 1 == choices.size() ? " or " : ", ").append(choices[i]);
  }
  problem(*node, full_key(key) + " is not " + allowed);
  return -1;
}

void Reader::report_problem(std::string_view key, const std::string& text) {
  const Node* at = node_;
  if (const auto* entries = std::get_if<Node::Table>(&node_->value))
    for (const auto& [name, child] : *entries)
      if (name == key) at = &child;
  problem(*at, full_key(key) + " " + text);
}

void Reader::require_key(std::string_view key) {
  if (!has(key)) problem(*node_, full_key(key) + " is missing");
}

void Reader::require_unique(std::string_view key, const std::string& text, std::set<std::string>& taken) {
  if (!text.empty() && !taken.insert(text).second) report_problem(key, "is used twice: " + text);
}

void Reader::end() {
  const auto* entries = std::get_if<Node::Table>(&node_->value);
  if (!entries) return;
  for (const auto& [name, child] : *entries)
    if (std::find(known_.begin(), known_.end(), name) == known_.end())
      problem(child, full_key(name) + " is not known");
}

void throw_first_problem(const std::string& file, std::vector<Problem> problems) {
  if (problems.empty()) return;
  std::stable_sort(problems.begin(), problems.end(), [](const Problem& a, const Problem& b) {
    return std::pair(a.line, a.column) < std::pair(b.line, b.column);
  });
  throw BadFile(format_problem(file, problems.front()));
}

}  // namespace meadowgauge::settings
