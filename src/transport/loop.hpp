// The edge-triggered epoll loop: waits for events and notifies the handlers. Single-threaded.
#pragma once

#include <sys/epoll.h>

#include <array>
#include <cstdint>
#include <vector>

#include "transport/fd.hpp"

namespace meadowgauge::transport {

// Handles the events of a descriptor. Not owned by the loop; outlives the registration.
class Ready {
 public:
  // `events`: epoll's (EPOLLIN ...). May add and remove descriptors, including its own.
  virtual void ready(std::uint32_t events) = 0;

 protected:
  ~Ready() = default;
};

// Owns the epoll descriptor, but not the registered descriptors.
class Loop {
 public:
  // Throws std::system_error if epoll_create1() fails.
  Loop();

  // Returns a token unique to this registration, so that late events of an earlier descriptor with the same
  // number are dropped. `first`: notified before others of a batch. Throws std::system_error if epoll
  // refuses.
  std::uint64_t add(int fd, Ready& handler, std::uint32_t events, bool first = false);
  // Called before the descriptor is closed. No effect for a removed token.
  void remove(std::uint64_t token, int fd);
  // Notifies the handler again in the next batch, without waiting: input or output is left over.
  void again(std::uint64_t token, std::uint32_t events);

  // Waits for events, for at most `max_wait_ms` and at most one minute. Throws std::system_error.
  void wait(double max_wait_ms);
  // Notifies the handlers of the events of the last wait().
  void dispatch();

 private:
  void notify(const epoll_event& e, bool first);
  struct Slot {
    Ready* handler = nullptr;      // null: the slot is free
    std::uint32_t generation = 1;  // never 0, so that no token is 0
    bool first = false;
  };
  static constexpr int max_events = 256;
  Fd epoll_;
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_;
  std::array<epoll_event, max_events> events_{};
  int count_ = 0;
  int first_slots_ = 0;                // number of slots with `first`
  std::vector<epoll_event> repeated_;  // from again(), for the next batch
  std::vector<epoll_event> batch_;
};

}  // namespace meadowgauge::transport
