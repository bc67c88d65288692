// Remembers the ids of requests whose effect may still come, so that none of them takes effect twice.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace meadowgauge::proxy {

// The ids of requests that must not take effect twice: each from its arrival until its effect can no longer
// come, also after its client has left. The hash table has a fixed size and a few slots for each hash value.
// If these are full, a new id replaces the one with the earliest end. Processes that serve the same clients
// can share the slots. All times are in ms of Unix time.
class RequestIds {
 public:
  struct Slot {
    std::uint64_t id_hash = 0;   // 0: the slot is free
    std::uint64_t until_ms = 0;  // the id is remembered until then
  };
  static constexpr std::size_t slot_count = 32768;

  RequestIds() : own_slots_(slot_count), slots_(own_slots_) {}
  // Uses `slot_count` slots that other processes may use as well. They outlive this object. To be called
  // before the first request.
  void share(std::span<Slot> slots);

  // Whether the id is remembered.
  [[nodiscard]] bool contains(std::string_view id, double now_ms) const;
  // Remembers the id until `until_ms`. False: it is remembered already.
  [[nodiscard]] bool acquire(std::string_view id, double now_ms, double until_ms);
  // Remembers an acquired id until `until_ms` instead.
  void keep(std::string_view id, double until_ms);
  // Forgets an acquired id: its request has had no effect, and can no longer have one.
  void release(std::string_view id);

 private:
  [[nodiscard]] std::span<Slot> slots_of(std::uint64_t id_hash) const;
  [[nodiscard]] Slot* find(std::uint64_t id_hash) const;

  std::vector<Slot> own_slots_;
  std::span<Slot> slots_;
};

}  // namespace meadowgauge::proxy
