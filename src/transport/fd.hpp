// Ownership of file descriptors.
#pragma once

#include <unistd.h>

#include <utility>

namespace meadowgauge::transport {

// Owns one file descriptor and closes it on destruction. Empty after it was moved from.
class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  Fd(const Fd&) = delete;
  Fd& operator=(const Fd&) = delete;
  Fd(Fd&& o) noexcept : fd_(std::exchange(o.fd_, -1)) {}
  Fd& operator=(Fd&& o) noexcept {
    if (this != &o) {
      close();
      fd_ = std::exchange(o.fd_, -1);
    }
    return *this;
  }
  ~Fd() { close(); }

  // Closes the descriptor; no effect if empty.
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  // The descriptor, still owned by this object; -1 if empty.
  [[nodiscard]] int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

}  // namespace meadowgauge::transport
