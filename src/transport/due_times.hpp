// The due times of one balancer instance in one ordered structure.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <utility>

namespace meadowgauge::transport {

// Identifies a due time: its kind in the top byte, its number in the 56 bits below.
using DueKey = std::uint64_t;
constexpr DueKey due_key(std::uint8_t kind, std::uint64_t number) {
  return static_cast<DueKey>(kind) << 56 | number;
}
constexpr std::uint8_t kind_of(DueKey key) { return static_cast<std::uint8_t>(key >> 56); }
constexpr std::uint64_t number_of(DueKey key) { return key & ((DueKey{1} << 56) - 1); }

// Ordered by time (ms), then by key.
class DueTimes {
 public:
  // Not due, in ms.
  static constexpr double none = std::numeric_limits<double>::infinity();

  // Makes `key` due at `at_ms`. `kept`: the caller's record of the key's due time, `none` at first; updated
  // here and changed by nothing else.
  void set(DueKey key, double& kept, double at_ms) {
    if (kept != none) due_.erase({kept, key});
    kept = at_ms;
    if (at_ms != none) due_.insert({at_ms, key});
  }
  // The earliest due time; `none` if there is none.
  [[nodiscard]] double next() const {
    if (due_.empty()) return none;
    return due_.begin()->first;
  }
  // The first key that is due at `now_ms`. The key stays until set() changes its time.
  [[nodiscard]] std::optional<DueKey> first(double now_ms) const {
    if (due_.empty() || due_.begin()->first > now_ms) return {};
    return due_.begin()->second;
  }

 private:
  std::set<std::pair<double, DueKey>> due_;
};

}  // namespace meadowgauge::transport
