// IPv4 and IPv6 socket addresses.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <optional>
#include <string>
#include <string_view>

namespace meadowgauge::transport {

// A numeric IP address with a port, to listen on or to connect to. Host names are never resolved.
class Address {
 public:
  // Describes the expected format in error messages.
  static constexpr std::string_view description = "address with a port";
  // Parses "1.2.3.4:80" or "[::1]:80"; absent if `text` is neither.
  static std::optional<Address> parse(std::string_view text);
  // The local address of the bound socket `fd`. If it was bound to port 0, this has the port that the kernel
  // assigned.
  static Address of(int fd);
  // Converts an address returned by a system call; text() is its canonical form.
  static Address seen(const sockaddr_storage& at, socklen_t size);
  // The address as passed to system calls; valid for the lifetime of this object.
  [[nodiscard]] const sockaddr* raw() const { return reinterpret_cast<const sockaddr*>(&storage_); }
  [[nodiscard]] socklen_t size() const { return size_; }
  // AF_INET or AF_INET6.
  [[nodiscard]] int family() const { return storage_.ss_family; }
  // The text passed to parse(); otherwise the canonical form.
  [[nodiscard]] const std::string& text() const { return text_; }
  bool operator==(const Address& o) const { return text_ == o.text_; }

 private:
  sockaddr_storage storage_{};
  socklen_t size_ = 0;
  std::string text_;
};

}  // namespace meadowgauge::transport
