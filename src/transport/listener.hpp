// Listening TCP sockets.
#pragma once

#include "transport/address.hpp"
#include "transport/loop.hpp"

namespace meadowgauge::transport {

// A listening TCP socket. Owns the descriptor and its registration with the loop.
class Listener {
 public:
  // Options of the constructor.
  struct How {
    bool first = false;   // notify the owner before the other handlers of a batch
    bool shared = false;  // SO_REUSEPORT: other processes may listen on the address
    bool later = false;   // only bind the address; listen() starts to listen
  };
  // `loop` and `owner` outlive the listener. Throws std::system_error, with the address in its text, if the
  // socket cannot be bound or cannot listen.
  Listener(Loop& loop, const Address& at, EventHandler& owner) : Listener(loop, at, owner, How()) {}
  Listener(Loop& loop, const Address& at, EventHandler& owner, How how);
  ~Listener() { close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Starts to listen after construction with `How::later`; no effect otherwise. Throws like the constructor.
  void listen();
  // Whether the socket is listening: from listen() until close().
  [[nodiscard]] bool listening() const { return token_ != 0 && fd_; }
  // Directs all new connections of the shared address to its `nth` listener. Listeners are numbered from 0 in
  // the order in which the open ones began to listen. Returns false if the kernel refuses; it then keeps
  // distributing connections over all listeners.
  bool take_new_connections(std::uint32_t nth);
  // Accepts the next connection. Returns an empty Fd if no connection is pending, or if the system is out of
  // descriptors or memory, which sets `full`.
  Fd accept(bool& full);
  // Stops listening. The kernel resets connections that were not accepted.
  void close();
  [[nodiscard]] Address address() const { return Address::of(fd_.get()); }
  [[nodiscard]] bool open() const { return static_cast<bool>(fd_); }

 private:
  Loop* loop_;
  EventHandler* owner_;
  How how_;
  Fd fd_;
  std::uint64_t token_ = 0;
};

}  // namespace meadowgauge::transport
