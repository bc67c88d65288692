#include "transport/listener.hpp"

#include <linux/filter.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>

namespace meadowgauge::transport {

Listener::Listener(Loop& loop, const Address& at, EventHandler& owner, How how)
    : loop_(&loop),
      owner_(&owner),
      how_(how),
      fd_(socket(at.family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  int enable = 1;
  if (!fd_ || setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable) != 0 ||
      (how.shared && setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEPORT, &enable, sizeof enable) != 0) ||
      bind(fd_.get(), at.raw(), at.size()) != 0)
    throw std::system_error(errno, std::generic_category(), "cannot listen on " + at.text());
  if (!how.later) listen();
}

void Listener::listen() {
  if (!fd_ || token_ != 0) return;
  if (::listen(fd_.get(), SOMAXCONN) != 0)
    throw std::system_error(errno, std::generic_category(), "cannot listen on " + address().text());
  token_ = loop_->add(fd_.get(), *owner_, EPOLLIN, how_.first);
}

bool Listener::take_new_connections(std::uint32_t nth) {
  sock_filter return_nth{.code = BPF_RET | BPF_K, .jt = 0, .jf = 0, .k = nth};
  sock_fprog program{.len = 1, .filter = &return_nth};
  return setsockopt(fd_.get(), SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program, sizeof program) == 0;
}

Fd Listener::accept(bool& full) {
  full = false;
  while (fd_) {
    Fd fd(accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (fd) return fd;
    if (errno == EINTR || errno == ECONNABORTED || errno == EPROTO) continue;  // the client disconnected
    full = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
    break;
  }
  return {};
}

void Listener::close() {
  if (!fd_) return;
  if (token_ != 0) loop_->remove(token_, fd_.get());
  fd_.close();
}

}  // namespace meadowgauge::transport
