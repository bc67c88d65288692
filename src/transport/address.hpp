// An address to listen on or to dial: IPv4 or bracketed IPv6, with a port. Never resolves names.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <optional>
#include <string>
#include <string_view>

namespace meadowgauge::transport {

class Address {
 public:
  // The format, for error messages.
  static constexpr std::string_view description = "address with a port";
  // Parses "1.2.3.4:80" or "[::1]:80"; absent if `text` is neither.
  static std::optional<Address> parse(std::string_view text);
  // The local address of the bound socket `fd`, with the port that the system chose for port 0.
  static Address of(int fd);
  // From the result of a socket call, with the text in canonical form.
  static Address seen(const sockaddr_storage& at, socklen_t size);
  // For system calls; valid for the lifetime of this object.
  [[nodiscard]] const sockaddr* raw() const { return reinterpret_cast<const sockaddr*>(&at_); }
  [[nodiscard]] socklen_t size() const { return size_; }
  // AF_INET or AF_INET6.
  [[nodiscard]] int family() const { return at_.ss_family; }
  // The text given to parse(), or the canonical form.
  [[nodiscard]] const std::string& text() const { return text_; }
  bool operator==(const Address& o) const { return text_ == o.text_; }

 private:
  sockaddr_storage at_{};
  socklen_t size_ = 0;
  std::string text_;
};

}  // namespace meadowgauge::transport
