#include "transport/stream.hpp"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <utility>

namespace meadowgauge::transport {

Stream::Stream(Loop& loop, Pool& pool, Fd fd, EventHandler& owner, bool is_prioritized)
    : loop_(&loop),
      pool_(&pool),
      fd_(std::move(fd)),
      token_(loop.add(fd_.get(), owner, EPOLLIN | EPOLLOUT | EPOLLRDHUP, is_prioritized)),
      output_(pool) {
  int enable = 1;
  setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
}

Stream::~Stream() { close(); }

Fd Stream::dial(const Address& to) {
  Fd fd(socket(to.family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (fd && connect(fd.get(), to.raw(), to.size()) != 0 && errno != EINPROGRESS) {
    int saved_errno = errno;
    fd.close();
    errno = saved_errno;
  }
  return fd;
}

int Stream::dial_error() const {
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

void Stream::record_arrivals() {
  int enable = 1;
  records_arrivals_ = setsockopt(fd_.get(), SOL_SOCKET, SO_TIMESTAMPNS, &enable, sizeof enable) == 0;
}

ssize_t Stream::receive(char* to, std::size_t size) {
  int flags = peeks_ ? MSG_PEEK : 0;
  if (!records_arrivals_) return recv(fd_.get(), to, size, flags);
  iovec part{.iov_base = to, .iov_len = size};
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(timespec))> control{};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control.data();
  message.msg_controllen = control.size();
  auto n = recvmsg(fd_.get(), &message, flags);
  for (auto* header = n > 0 ? CMSG_FIRSTHDR(&message) : nullptr; header;
       header = CMSG_NXTHDR(&message, header)) {
    if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_TIMESTAMPNS) continue;
    timespec at{};
    std::memcpy(&at, CMSG_DATA(header), sizeof at);
    arrived_ms_ = static_cast<double>(at.tv_sec) * 1e3 + static_cast<double>(at.tv_nsec) / 1e6;
  }
  return n;
}

bool Stream::take_input_buffer() {
  input_ = pool_->take(BufferUse::shared);
  peeks_ = !input_;
  if (!input_) input_ = pool_->take(BufferUse::essential);
  return static_cast<bool>(input_);
}

Stream::ReadResult Stream::fill(std::size_t max_bytes) {
  if (!fd_) return ReadResult::broken;
  drained_ = false;
  if (peeks_ || unread_begin_ == unread_end_) unread_begin_ = unread_end_ = 0;
  auto space = std::min(max_bytes, buffer_size - unread_end_);
  if (space == 0) return ReadResult::nothing;
  if (!input_ && !take_input_buffer()) {
    wait_for_buffer(EPOLLIN);  // the bytes stay in the socket until then
    return ReadResult::nothing;
  }
  for (;;) {
    auto n = receive(input_.data() + unread_end_, space);
    if (n > 0) {
      unread_end_ += static_cast<std::size_t>(n);
      return ReadResult::bytes;
    }
    if (n < 0 && errno == EINTR) continue;
    if (unread_begin_ == unread_end_) input_ = {};
    if (n == 0) return ReadResult::end;
    drained_ = errno == EAGAIN || errno == EWOULDBLOCK;
    return drained_ ? ReadResult::nothing : ReadResult::broken;
  }
}

std::size_t Stream::unread_bytes() const {
  int bytes = 0;
  if (ioctl(fd_.get(), FIONREAD, &bytes) != 0) return 0;
  return static_cast<std::size_t>(bytes);
}

std::string_view Stream::bytes() const {
  return input_ ? std::string_view(input_.data() + unread_begin_, unread_end_ - unread_begin_)
                : std::string_view{};
}

void Stream::consume(std::size_t n) {
  if (peeks_ && n > 0) {
    // Takes the consumed bytes from the socket. The rest is read again.
    static_cast<void>(recv(fd_.get(), input_.data(), n, 0));
    n = unread_end_ - unread_begin_;
  }
  unread_begin_ += n;
  if (unread_begin_ < unread_end_) return;
  unread_begin_ = unread_end_ = 0;
  input_ = {};
}

bool Stream::quiet() const {
  char c = 0;
  auto n = recv(fd_.get(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool Stream::ended() const {
  char c = 0;
  auto n = recv(fd_.get(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool Stream::flush() {
  if (!fd_) return false;
  while (output_.size() > 0) {
    auto front = output_.front();
    auto n = send(fd_.get(), front.data(), front.size(), MSG_NOSIGNAL);
    if (n >= 0) {
      output_.consume(static_cast<std::size_t>(n));
      sent_bytes_ += static_cast<std::uint64_t>(n);
      continue;
    }
    if (errno == EINTR) continue;
    return errno == EAGAIN || errno == EWOULDBLOCK;
  }
  return true;
}

// Where the system does not tell how much is unacknowledged, what it has taken counts as delivered.
std::uint64_t Stream::acknowledged_bytes() const {
  int unacknowledged_bytes = 0;
  if (ioctl(fd_.get(), SIOCOUTQ, &unacknowledged_bytes) != 0) return sent_bytes_;
  return sent_bytes_ - std::min(sent_bytes_, static_cast<std::uint64_t>(unacknowledged_bytes));
}

void Stream::wait_for_buffer(std::uint32_t events) {
  if (!fd_) return;
  awaited_events_ |= events;
  pool_->wait(*this);
}

void Stream::buffer_available() { again(std::exchange(awaited_events_, 0)); }

void Stream::end_sending() {
  if (fd_) shutdown(fd_.get(), SHUT_WR);
}

void Stream::close() {
  if (!fd_) return;
  loop_->remove(token_, fd_.get());
  fd_.close();
  pool_->stop_waiting(*this);
  output_.clear();
  input_ = {};
  unread_begin_ = unread_end_ = 0;
}

void Stream::reset() {
  if (!fd_) return;
  linger abortive_close{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &abortive_close, sizeof abortive_close);
  close();
}

}  // namespace meadowgauge::transport
