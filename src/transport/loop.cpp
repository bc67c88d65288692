#include "transport/loop.hpp"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <system_error>
#include <utility>

namespace meadowgauge::transport {
namespace {

// The longest single wait for events.
constexpr double max_single_wait_ms = 60000;

}  // namespace

Loop::Loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

std::uint64_t Loop::add(int fd, EventHandler& handler, std::uint32_t events, bool is_prioritized) {
  if (free_slots_.empty()) {
    free_slots_.push_back(static_cast<std::uint32_t>(slots_.size()));
    slots_.emplace_back();
  }
  auto slot = free_slots_.back();
  epoll_event e{};
  e.events = events | EPOLLET;
  e.data.u64 = static_cast<std::uint64_t>(slots_[slot].generation) << 32 | slot;
  if (epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &e) != 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  free_slots_.pop_back();
  slots_[slot].handler = &handler;
  slots_[slot].is_prioritized = is_prioritized;
  prioritized_slots_ += is_prioritized ? 1 : 0;
  return e.data.u64;
}

Loop::Slot* Loop::find_slot(std::uint64_t token) {
  auto& slot = slots_[static_cast<std::uint32_t>(token)];
  return slot.handler && slot.generation == token >> 32 ? &slot : nullptr;
}

void Loop::remove(std::uint64_t token, int fd) {
  auto* slot = find_slot(token);
  if (!slot) return;
  epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
  slot->handler = nullptr;
  slot->repeated_events = 0;
  prioritized_slots_ -= slot->is_prioritized ? 1 : 0;
  ++slot->generation;  // invalidates remaining events of this batch
  free_slots_.push_back(static_cast<std::uint32_t>(token));
}

// One entry for each registration: a handler that asks twice in each notification must not be notified twice
// as often in each batch.
void Loop::again(std::uint64_t token, std::uint32_t events) {
  auto* slot = find_slot(token);
  if (!slot) return;
  if (slot->repeated_events == 0) repeated_.push_back(token);
  slot->repeated_events |= events;
}

void Loop::wait(double max_wait_ms) {
  int ms =
      !repeated_.empty() ? 0 : static_cast<int>(std::ceil(std::clamp(max_wait_ms, 0.0, max_single_wait_ms)));
  event_count_ = epoll_wait(epoll_.get(), events_.data(), max_events, ms);
  // After an interruption, for example by SIGSTOP and SIGCONT, polls once more, so that pending events are
  // handled before expired timers.
  if (event_count_ < 0 && errno == EINTR)
    event_count_ = epoll_wait(epoll_.get(), events_.data(), max_events, 0);
  if (event_count_ < 0 && errno != EINTR)
    throw std::system_error(errno, std::generic_category(), "epoll_wait");
}

void Loop::dispatch() {
  add_repeated_events();
  for (int i = 0; i < event_count_; ++i) batch_.push_back(events_[static_cast<std::size_t>(i)]);
  event_count_ = 0;
  if (prioritized_slots_ > 0)
    for (const auto& e : batch_) notify(e, true);
  for (const auto& e : batch_) notify(e, false);
  batch_.clear();
}

void Loop::add_repeated_events() {
  for (auto token : std::exchange(repeated_, {})) {
    auto* slot = find_slot(token);
    if (!slot) continue;
    epoll_event e{};
    e.events = std::exchange(slot->repeated_events, 0);
    e.data.u64 = token;
    batch_.push_back(e);
  }
}

void Loop::notify(const epoll_event& e, bool is_prioritized) {
  const auto* slot = find_slot(e.data.u64);
  if (slot && slot->is_prioritized == is_prioritized) slot->handler->ready(e.events);
}

}  // namespace meadowgauge::transport
