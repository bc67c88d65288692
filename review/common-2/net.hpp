// Blocking TCP sockets on loopback addresses, with deadlines. Times are in ms of now_ms().
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace review {

// How a read or write ended.
enum class Io { done, ended, broken, timed_out };

// Owns one socket.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { close(); }

  [[nodiscard]] int fd() const { return fd_; }
  [[nodiscard]] bool open() const { return fd_ >= 0; }
  // Closes in an orderly way: the peer sees the end after what was sent.
  void close();
  // Ends the other threads' waits on this socket, without closing it.
  void shut_down();

  // Writes all bytes.
  Io send_all(std::string_view bytes, double until_ms);
  // Appends the bytes that have come to `to`; waits for the first one.
  Io receive(std::string& to, double until_ms);

 private:
  int fd_ = -1;
};

// Connects; the socket is not open on failure.
Socket connect_to(const std::string& address, double until_ms);

// Listens on a free port of the loopback address `host`. `receive_buffer_bytes`: of the connections; 0: as
// the system has it. Throws std::runtime_error.
Socket listen_on(const std::string& host, int backlog = 512, int receive_buffer_bytes = 0);

// The address with the port that a socket is bound to, as "127.0.0.1:1234".
std::string address_of(const Socket& socket);

// Waits for a connection; the socket is not open if none has come.
Socket accept_from(const Socket& listener, double until_ms);

// An address with a port of `host` that nobody listens on now.
std::string free_address(const std::string& host);

}  // namespace review
