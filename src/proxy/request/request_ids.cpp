#include "proxy/request/request_ids.hpp"

#include <algorithm>
#include <atomic>

#include "protocol/request_hints.hpp"

namespace meadowgauge::proxy {

namespace {

constexpr std::size_t slots_per_hash = 8;

// Slots are read and written atomically, because another process may use them at the same time.
std::uint64_t load(std::uint64_t& value) { return std::atomic_ref(value).load(); }
void store(std::uint64_t& value, std::uint64_t new_value) { std::atomic_ref(value).store(new_value); }

std::uint64_t whole_ms(double ms) { return static_cast<std::uint64_t>(std::max(ms, 0.0)); }

}  // namespace

void RequestIds::share(std::span<Slot> slots) {
  slots_ = slots;
  own_slots_ = {};
}

std::span<RequestIds::Slot> RequestIds::slots_of(std::uint64_t id_hash) const {
  auto first = id_hash % (slots_.size() / slots_per_hash) * slots_per_hash;
  return slots_.subspan(first, slots_per_hash);
}

RequestIds::Slot* RequestIds::find(std::uint64_t id_hash) const {
  for (auto& slot : slots_of(id_hash))
    if (load(slot.id_hash) == id_hash) return &slot;
  return nullptr;
}

bool RequestIds::contains(std::string_view id, double now_ms) const {
  auto* slot = find(protocol::stable_hash(id));
  return slot && load(slot->until_ms) > whole_ms(now_ms);
}

bool RequestIds::acquire(std::string_view id, double now_ms, double until_ms) {
  auto id_hash = protocol::stable_hash(id);
  auto* slot = find(id_hash);
  if (slot && load(slot->until_ms) > whole_ms(now_ms)) return false;
  if (!slot) {
    auto slots = slots_of(id_hash);
    slot = &*std::ranges::min_element(slots, {}, [](Slot& candidate) {
      return load(candidate.id_hash) == 0 ? 0 : load(candidate.until_ms);
    });
  }
  store(slot->until_ms, whole_ms(until_ms));
  store(slot->id_hash, id_hash);
  // Another process may have acquired the id meanwhile: the first slot of the id counts.
  if (find(id_hash) == slot) return true;
  store(slot->id_hash, 0);
  return false;
}

void RequestIds::keep(std::string_view id, double until_ms) {
  if (auto* slot = find(protocol::stable_hash(id))) store(slot->until_ms, whole_ms(until_ms));
}

void RequestIds::release(std::string_view id) {
  if (auto* slot = find(protocol::stable_hash(id))) store(slot->id_hash, 0);
}

}  // namespace meadowgauge::proxy
