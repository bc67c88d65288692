#include "transport/loop.hpp"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <system_error>

namespace meadowgauge::transport {
namespace {

constexpr double wait_limit_ms = 60000;

}  // namespace

Loop::Loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

std::uint64_t Loop::add(int fd, Ready& handler, std::uint32_t events, bool first) {
  if (free_.empty()) {
    free_.push_back(static_cast<std::uint32_t>(slots_.size()));
    slots_.emplace_back();
  }
  auto slot = free_.back();
  epoll_event e{};
  e.events = events | EPOLLET;
  e.data.u64 = static_cast<std::uint64_t>(slots_[slot].generation) << 32 | slot;
  if (epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &e) != 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  free_.pop_back();
  slots_[slot].handler = &handler;
  slots_[slot].first = first;
  first_slots_ += first ? 1 : 0;
  return e.data.u64;
}

void Loop::remove(std::uint64_t token, int fd) {
  auto slot = static_cast<std::uint32_t>(token);
  if (slots_[slot].generation != token >> 32 || !slots_[slot].handler) return;
  epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
  slots_[slot].handler = nullptr;
  first_slots_ -= slots_[slot].first ? 1 : 0;
  ++slots_[slot].generation;  // makes events left in this batch stale
  free_.push_back(slot);
}

void Loop::again(std::uint64_t token, std::uint32_t events) {
  epoll_event e{};
  e.events = events;
  e.data.u64 = token;
  repeated_.push_back(e);
}

void Loop::wait(double max_wait_ms) {
  int ms = !repeated_.empty() ? 0 : static_cast<int>(std::ceil(std::clamp(max_wait_ms, 0.0, wait_limit_ms)));
  count_ = epoll_wait(epoll_.get(), events_.data(), max_events, ms);
  // Interrupted, for example by SIGSTOP and SIGCONT: pending events come before due times.
  if (count_ < 0 && errno == EINTR) count_ = epoll_wait(epoll_.get(), events_.data(), max_events, 0);
  if (count_ < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
}

void Loop::dispatch() {
  batch_.swap(repeated_);
  for (int i = 0; i < count_; ++i) batch_.push_back(events_[static_cast<std::size_t>(i)]);
  count_ = 0;
  if (first_slots_ > 0)
    for (const auto& e : batch_) notify(e, true);
  for (const auto& e : batch_) notify(e, false);
  batch_.clear();
}

void Loop::notify(const epoll_event& e, bool first) {
  const auto& slot = slots_[static_cast<std::uint32_t>(e.data.u64)];
  if (slot.handler && slot.generation == e.data.u64 >> 32 && slot.first == first)
    slot.handler->ready(e.events);
}

}  // namespace meadowgauge::transport
