// Endpoint lists in the format of discovery and configurations, and the framing of a watch.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "protocol/json.hpp"

namespace meadowgauge::protocol {

// One endpoint of an endpoint list.
struct EndpointListEntry {
  enum class Health : std::uint8_t { active, leaving, left };
  std::string name, dial, zone, kind;  // `dial`: the address of its connections
  int block = 0;                       // failure domain (cell); negative: not stated
  Health health = Health::active;
  double weight = 1;
  double started_ms = 0;  // ms of Unix time; 0: not stated
};

struct EndpointList {
  std::int64_t seq = 0;                  // version, assigned by the writer
  bool full = false;                     // a full list; otherwise the changed endpoints only
  std::vector<EndpointListEntry> hosts;  // valid entries, in the order of the list
  std::vector<std::string> skipped;      // one error text per invalid entry
};

// Absent if `value` is not an endpoint list. Skips invalid entries, with an error text in `skipped`.
std::optional<EndpointList> read_endpoint_list(const Json& value);

// Splits the bytes of a watch into lines. Drops lines over `max_line_bytes`.
class LineReader {
 public:
  static constexpr std::size_t max_line_bytes = 2 << 20;

  // Calls on_line(std::string_view), without line ending, for each line that `in` completes.
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
  // Whether a line was dropped since the last call.
  bool take_overflow() { return std::exchange(overflowed_, false); }

 private:
  std::string partial_;  // the incomplete line
  bool dropping_ = false;
  bool overflowed_ = false;
};

// Tracks by brackets and quotes whether a JSON value received in pieces is still incomplete.
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
  // Whether a string or bracket is open.
  [[nodiscard]] bool open() const { return in_string_ || depth_ > 0; }

 private:
  int depth_ = 0;
  bool in_string_ = false;
  bool escaped_ = false;
};

}  // namespace meadowgauge::protocol
