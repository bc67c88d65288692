#include "net.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <utility>

#include "record.hpp"

namespace review {
namespace {

sockaddr_in parse_address(const std::string& address) {
  auto colon = address.rfind(':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  return parsed;
}

// Waits for one of the poll events. False: the time is over.
bool wait_for(int fd, short events, double until_ms) {
  pollfd waited{.fd = fd, .events = events, .revents = 0};
  double left_ms = until_ms - now_ms();
  int timeout_ms = static_cast<int>(std::clamp(left_ms + 1, 0.0, 1e8));
  return poll(&waited, 1, timeout_ms) > 0;
}

}  // namespace

Socket::Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this == &other) return *this;
  close();
  fd_ = std::exchange(other.fd_, -1);
  return *this;
}

void Socket::close() {
  if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

void Socket::shut_down() {
  if (fd_ >= 0) shutdown(fd_, SHUT_RDWR);
}

Io Socket::send_all(std::string_view bytes, double until_ms) {
  while (!bytes.empty()) {
    auto sent = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    if (errno == EINTR) continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK) return Io::broken;
    if (!wait_for(fd_, POLLOUT, until_ms)) return Io::timed_out;
  }
  return Io::done;
}

Io Socket::receive(std::string& to, double until_ms) {
  std::array<char, 65536> buffer;
  for (;;) {
    auto got = recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (got > 0) {
      to.append(buffer.data(), static_cast<std::size_t>(got));
      return Io::done;
    }
    if (got == 0) return Io::ended;
    if (errno == EINTR) continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK) return Io::broken;
    if (!wait_for(fd_, POLLIN, until_ms)) return Io::timed_out;
  }
}

Socket connect_to(const std::string& address, double until_ms) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  int enable = 1;
  setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
  auto to = parse_address(address);
  bool connected = connect(socket.fd(), reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
  if (connected) return socket;
  if (errno != EINPROGRESS || !wait_for(socket.fd(), POLLOUT, until_ms)) return {};
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) return {};
  return socket;
}

Socket listen_on(const std::string& host, int backlog, int receive_buffer_bytes) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (receive_buffer_bytes > 0)
    setsockopt(socket.fd(), SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
  auto at = parse_address(host + ":0");
  bool bound = bind(socket.fd(), reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
  if (!bound || listen(socket.fd(), backlog) != 0) throw std::runtime_error("cannot listen on " + host);
  return socket;
}

std::string address_of(const Socket& socket) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&at), &size);
  std::array<char, INET_ADDRSTRLEN> host{};
  inet_ntop(AF_INET, &at.sin_addr, host.data(), host.size());
  return std::string(host.data()) + ":" + std::to_string(ntohs(at.sin_port));
}

Socket accept_from(const Socket& listener, double until_ms) {
  if (!wait_for(listener.fd(), POLLIN, until_ms)) return {};
  Socket socket(accept4(listener.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  int enable = 1;
  if (socket.open()) setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
  return socket;
}

std::string free_address(const std::string& host) {
  Socket socket = listen_on(host);
  return address_of(socket);
}

}  // namespace review
