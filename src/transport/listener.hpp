// The listening socket.
#pragma once

#include "transport/address.hpp"
#include "transport/loop.hpp"

namespace meadow::transport {

class Listener {
 public:
  // Throws std::system_error naming the address where it can't listen.
  // `first`: its owner is told before others of a batch.
  Listener(Loop& loop, const Address& at, Ready& owner, bool first = false);
  ~Listener() { close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // The next connection; an empty one when none waits or no descriptor is left (`full` says which).
  Fd accept(bool& full);
  void close();
  [[nodiscard]] Address address() const { return Address::of(fd_.get()); }
  [[nodiscard]] bool open() const { return static_cast<bool>(fd_); }

 private:
  Loop* loop_;
  Fd fd_;
  std::uint64_t token_ = 0;
};

}  // namespace meadow::transport
