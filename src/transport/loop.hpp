// The event loop of a process.
#pragma once

#include <sys/epoll.h>

#include <array>
#include <cstdint>
#include <vector>

#include "transport/fd.hpp"

namespace meadowgauge::transport {

// Handles the events of registered descriptors. Not owned by the loop; must outlive its registrations.
class EventHandler {
 public:
  // Called with the epoll event mask (EPOLLIN, ...). May add and remove descriptors, including its own.
  virtual void ready(std::uint32_t events) = 0;

 protected:
  ~EventHandler() = default;
};

// An edge-triggered epoll loop: waits for events and notifies their handlers. Single-threaded. Owns the epoll
// descriptor, but not the registered descriptors.
class Loop {
 public:
  // Throws std::system_error if epoll_create1() fails.
  Loop();

  // Registers `fd` for `events`. Returns a token unique to this registration, so that stale events of an
  // earlier descriptor with the same number are dropped. A prioritized handler is notified before the others
  // of a batch. Throws std::system_error if epoll refuses.
  std::uint64_t add(int fd, EventHandler& handler, std::uint32_t events, bool is_prioritized = false);
  // Ends the registration; must be called before `fd` is closed. No effect if the registration has ended.
  void remove(std::uint64_t token, int fd);
  // Notifies the handler of `events` again in the next batch, which does not wait. Edge-triggered epoll does
  // not repeat an event whose input or output was not fully processed. Calls before that batch are combined:
  // the handler is notified once.
  void again(std::uint64_t token, std::uint32_t events);

  // Waits for events, for at most `max_wait_ms` and at most one minute. Throws std::system_error.
  void wait(double max_wait_ms);
  // Notifies the handlers of the events of the last wait().
  void dispatch();

 private:
  struct Slot {
    EventHandler* handler = nullptr;  // null: the slot is free
    std::uint32_t generation = 1;     // never 0, so that no token is 0
    bool is_prioritized = false;
    std::uint32_t repeated_events = 0;  // from again(), for the next batch
  };
  // The slot of a registration that has not ended; otherwise null.
  [[nodiscard]] Slot* find_slot(std::uint64_t token);
  void add_repeated_events();
  void notify(const epoll_event& e, bool is_prioritized);

  static constexpr int max_events = 256;
  Fd epoll_;
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_slots_;
  std::array<epoll_event, max_events> events_{};
  int event_count_ = 0;
  int prioritized_slots_ = 0;            // number of registrations with `is_prioritized`
  std::vector<std::uint64_t> repeated_;  // tokens of the slots with `repeated_events`, in order
  std::vector<epoll_event> batch_;
};

}  // namespace meadowgauge::transport
