// Parser of endpoint lists, which come from discovery and configurations, and the line framing of a discovery
// watch.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "protocol/json.hpp"

namespace meadowgauge::protocol {

// One endpoint of an endpoint list. `dial` is the address to connect to.
struct EndpointListEntry {
  enum class Health : std::uint8_t { active, leaving, left };
  std::string name, dial, zone, kind;
  int block = 0;  // failure domain (cell); negative: not stated
  Health health = Health::active;
  double weight = 1;
  double started_ms = 0;  // ms of Unix time; 0: not stated
};

// A full or partial endpoint list.
struct EndpointList {
  std::int64_t seq = 0;                  // version number, assigned by the writer of the list
  bool full = false;                     // the list is complete; otherwise it has only the changed endpoints
  std::vector<EndpointListEntry> hosts;  // valid entries, in their original order
  std::vector<std::string> skipped;      // one error text per invalid entry
};

// Reads an endpoint list; absent if `value` is not one. Skips invalid entries and adds an error text for each
// to `skipped`.
std::optional<EndpointList> read_endpoint_list(const Json& value);

// Splits the byte stream of a watch into lines. Drops lines longer than `max_line_bytes`.
class LineReader {
 public:
  static constexpr std::size_t max_line_bytes = 2 << 20;

  // Calls on_line(std::string_view) for each line that `in` completes, without its line ending.
  template <class F>
  void feed(std::string_view in, F&& on_line) {
    while (!in.empty()) {
      auto newline = in.find('\n');
      auto piece = in.substr(0, newline);
      if (partial_.size() + piece.size() > max_line_bytes) dropping_ = true;
      if (!dropping_) partial_ += piece;
      if (newline == std::string_view::npos) return;
      in.remove_prefix(newline + 1);
      auto line = std::move(partial_);
      partial_.clear();
      if (line.ends_with('\r')) line.pop_back();
      if (!dropping_) on_line(std::string_view(line));
      overflowed_ = overflowed_ || dropping_;
      dropping_ = false;
    }
  }
  // Whether a line was dropped since the last call of this function.
  bool take_overflow() { return std::exchange(overflowed_, false); }

 private:
  std::string partial_;  // the incomplete line
  bool dropping_ = false;
  bool overflowed_ = false;
};

// Tracks the open brackets and quotes of a JSON value that arrives in pieces, to tell when it is complete.
class JsonNesting {
 public:
  void feed(std::string_view text) {
    for (char c : text) {
      if (in_string_) {
        in_string_ = escaped_ || c != '"';
        escaped_ = !escaped_ && c == '\\';
      } else if (c == '"') {
        in_string_ = true;
      } else if (c == '{' || c == '[') {
        ++depth_;
      } else if (c == '}' || c == ']') {
        --depth_;
      }
    }
  }
  // Whether a string, an object or a list is unterminated.
  [[nodiscard]] bool open() const { return in_string_ || depth_ > 0; }

 private:
  int depth_ = 0;
  bool in_string_ = false;
  bool escaped_ = false;
};

}  // namespace meadowgauge::protocol
