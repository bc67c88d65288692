// A listening TCP socket.
#pragma once

#include "transport/address.hpp"
#include "transport/loop.hpp"

namespace meadowgauge::transport {

// Owns the listening descriptor and its registration with the loop.
class Listener {
 public:
  struct How {
    bool first = false;   // notify the owner before others of a batch
    bool shared = false;  // SO_REUSEPORT: other processes may listen on the address
    bool later = false;   // bind only, until listen()
  };
  // `loop` and `owner` outlive the listener. Throws std::system_error with the address if it can't listen.
  Listener(Loop& loop, const Address& at, Ready& owner) : Listener(loop, at, owner, How()) {}
  Listener(Loop& loop, const Address& at, Ready& owner, How how);
  ~Listener() { close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // After `How::later`. Throws as the constructor does.
  void listen();
  // Whether the socket accepts connections: after listen(), before close().
  [[nodiscard]] bool listening() const { return token_ != 0 && fd_; }
  // Directs new connections to the `nth` (from 0) listener of the shared address, in the order in which the
  // open listeners began to listen. False: refused by the system, which distributes connections then.
  bool take_new_connections(std::uint32_t nth);
  // The next connection; empty if none waits, or if descriptors or memory ran out (`full`).
  Fd accept(bool& full);
  // The system resets connections that were not accepted.
  void close();
  [[nodiscard]] Address address() const { return Address::of(fd_.get()); }
  [[nodiscard]] bool open() const { return static_cast<bool>(fd_); }

 private:
  Loop* loop_;
  Ready* owner_;
  How how_;
  Fd fd_;
  std::uint64_t token_ = 0;
};

}  // namespace meadowgauge::transport
