// Timers of one balancer instance, in one ordered structure.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <utility>

namespace meadowgauge::transport {

// Identifies a timer: the kind in the top byte, the number within that kind in the lower 56 bits.
using DueKey = std::uint64_t;
constexpr DueKey due_key(std::uint8_t kind, std::uint64_t number) {
  return static_cast<DueKey>(kind) << 56 | number;
}
constexpr std::uint8_t kind_of(DueKey key) { return static_cast<std::uint8_t>(key >> 56); }
constexpr std::uint64_t number_of(DueKey key) { return key & ((DueKey{1} << 56) - 1); }

// Due times in ms, ordered by time and then by key.
class DueTimes {
 public:
  // The due time of a key that is not due.
  static constexpr double none = std::numeric_limits<double>::infinity();

  // Makes `key` due at `at_ms`; `none` removes the key. `stored_ms` is the caller's copy of the key's due
  // time, initially `none`. Only set() may change it.
  void set(DueKey key, double& stored_ms, double at_ms) {
    if (stored_ms != none) due_.erase({stored_ms, key});
    stored_ms = at_ms;
    if (at_ms != none) due_.insert({at_ms, key});
  }
  // The earliest due time; `none` without any due key.
  [[nodiscard]] double next() const {
    if (due_.empty()) return none;
    return due_.begin()->first;
  }
  // The key with the earliest due time, if that is at or before `now_ms`. The key stays due until set()
  // changes its time.
  [[nodiscard]] std::optional<DueKey> first(double now_ms) const {
    if (due_.empty() || due_.begin()->first > now_ms) return {};
    return due_.begin()->second;
  }

 private:
  std::set<std::pair<double, DueKey>> due_;
};

}  // namespace meadowgauge::transport
