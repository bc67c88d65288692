#include "transport/listener.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <system_error>

namespace meadow::transport {

Listener::Listener(Loop& loop, const Address& at, Ready& owner, bool first)
    : loop_(&loop), fd_(socket(at.family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  int on = 1;
  if (!fd_ || setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      bind(fd_.get(), at.raw(), at.size()) != 0 || listen(fd_.get(), SOMAXCONN) != 0)
    throw std::system_error(errno, std::generic_category(), "cannot listen on " + at.text());
  token_ = loop.add(fd_.get(), owner, EPOLLIN, first);
}

Fd Listener::accept(bool& full) {
  full = false;
  while (fd_) {
    Fd fd(accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (fd) return fd;
    if (errno == EINTR || errno == ECONNABORTED || errno == EPROTO) continue;  // that one is gone; the next
    full = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
    break;
  }
  return {};
}

void Listener::close() {
  if (!fd_) return;
  loop_->remove(token_, fd_.get());
  fd_.close();
}

}  // namespace meadow::transport
