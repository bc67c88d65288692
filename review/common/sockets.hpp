// Blocking TCP sockets on loopback addresses, with time limits, and HTTP/1.1 heads.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "record.hpp"

namespace review {

struct Address {
  std::string host;
  int port = 0;
  [[nodiscard]] std::string text() const { return host + ":" + std::to_string(port); }
};

// A socket that is closed by its destructor.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    if (this != &other) {
      close();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { close(); }

  [[nodiscard]] int fd() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }

 private:
  int fd_ = -1;
};

inline sockaddr_in to_sockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
  return result;
}

// Listens on a free port of a loopback host; `address` receives the port. Invalid on failure.
inline Socket listen_on(Address& address) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  int enable = 1;
  setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
  auto name = to_sockaddr(address);
  if (bind(socket.fd(), reinterpret_cast<sockaddr*>(&name), sizeof name) != 0) return {};
  if (listen(socket.fd(), SOMAXCONN) != 0) return {};
  socklen_t size = sizeof name;
  getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&name), &size);
  address.port = ntohs(name.sin_port);
  return socket;
}

// A port that is free now on a loopback host.
inline int free_port(const std::string& host) {
  Address address{.host = host};
  auto socket = listen_on(address);
  return address.port;
}

// Waits until the socket can be read, or written. False after `limit_ms`.
inline bool wait_for(const Socket& socket, short events, double limit_ms) {
  pollfd waiting{.fd = socket.fd(), .events = events, .revents = 0};
  return poll(&waiting, 1, std::max(0, static_cast<int>(limit_ms))) > 0;
}

inline Socket connect_to(const Address& address, double limit_ms) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  auto name = to_sockaddr(address);
  if (connect(socket.fd(), reinterpret_cast<sockaddr*>(&name), sizeof name) != 0) {
    if (errno != EINPROGRESS || !wait_for(socket, POLLOUT, limit_ms)) return {};
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return {};
  }
  int enable = 1;
  setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
  return socket;
}

// Sends all bytes. False if the connection broke, or took no byte for `stall_ms`.
inline bool send_all(const Socket& socket, const std::string& bytes, double stall_ms) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    auto n = send(socket.fd(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) {
      sent += static_cast<std::size_t>(n);
      continue;
    }
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK) return false;
    if (!wait_for(socket, POLLOUT, stall_ms)) return false;
  }
  return true;
}

enum class ReadResult { bytes, end, reset, nothing };

// Appends what arrives next to `to`. `nothing`: no byte came within `limit_ms`.
inline ReadResult read_some(const Socket& socket, std::string& to, double limit_ms) {
  if (!wait_for(socket, POLLIN, limit_ms)) return ReadResult::nothing;
  char buffer[65536];
  auto n = recv(socket.fd(), buffer, sizeof buffer, MSG_DONTWAIT);
  if (n < 0) return errno == EAGAIN || errno == EINTR ? ReadResult::nothing : ReadResult::reset;
  if (n == 0) return ReadResult::end;
  to.append(buffer, static_cast<std::size_t>(n));
  return ReadResult::bytes;
}

// The first line and the fields of a message. Field names are in lower case.
struct Head {
  std::string first_line;
  std::map<std::string, std::string> fields;
  [[nodiscard]] std::string field(const std::string& name) const {
    auto it = fields.find(name);
    return it == fields.end() ? std::string() : it->second;
  }
  // The status of a response; 0 if there is none.
  [[nodiscard]] int status() const { return first_line.size() > 11 ? std::atoi(first_line.c_str() + 9) : 0; }
  // The target of a request.
  [[nodiscard]] std::string target() const {
    auto from = first_line.find(' ') + 1;
    return first_line.substr(from, first_line.find(' ', from) - from);
  }
};

// Takes a complete head from the front of `bytes`; empty if it is not complete yet.
inline std::optional<Head> take_head(std::string& bytes) {
  auto end = bytes.find("\r\n\r\n");
  if (end == std::string::npos) return {};
  Head head;
  std::size_t from = 0;
  while (from < end) {
    auto line_end = std::min(bytes.find("\r\n", from), end);
    auto line = bytes.substr(from, line_end - from);
    from = line_end + 2;
    if (head.first_line.empty()) {
      head.first_line = line;
      continue;
    }
    auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    auto name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    auto value_from = line.find_first_not_of(' ', colon + 1);
    head.fields[name] = value_from == std::string::npos ? "" : line.substr(value_from);
  }
  bytes.erase(0, end + 4);
  return head;
}

}  // namespace review
