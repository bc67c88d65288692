#include "transport/address.hpp"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cstring>

namespace meadowgauge::transport {

std::optional<Address> Address::parse(std::string_view text) {
  auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return {};
  auto host = text.substr(0, colon);
  auto digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  auto [end, bad] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (bad != std::errc{} || end != digits.data() + digits.size()) return {};
  Address a;
  a.text_ = text;
  if (host.starts_with('[') && host.ends_with(']')) {
    sockaddr_in6 v6{};
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(port);
    if (inet_pton(AF_INET6, std::string(host.substr(1, host.size() - 2)).c_str(), &v6.sin6_addr) != 1)
      return {};
    std::memcpy(&a.storage_, &v6, sizeof v6);
    a.size_ = sizeof v6;
  } else {
    sockaddr_in v4{};
    v4.sin_family = AF_INET;
    v4.sin_port = htons(port);
    if (inet_pton(AF_INET, std::string(host).c_str(), &v4.sin_addr) != 1) return {};
    std::memcpy(&a.storage_, &v4, sizeof v4);
    a.size_ = sizeof v4;
  }
  return a;
}

Address Address::of(int fd) {
  sockaddr_storage at{};
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  return seen(at, size);
}

Address Address::seen(const sockaddr_storage& at, socklen_t size) {
  Address a;
  a.storage_ = at;
  a.size_ = size;
  std::array<char, INET6_ADDRSTRLEN> host{};
  if (a.family() == AF_INET6) {
    const auto& v6 = reinterpret_cast<const sockaddr_in6&>(a.storage_);
    inet_ntop(AF_INET6, &v6.sin6_addr, host.data(), host.size());
    a.text_ = std::string("[").append(host.data()).append("]:") + std::to_string(ntohs(v6.sin6_port));
  } else {
    const auto& v4 = reinterpret_cast<const sockaddr_in&>(a.storage_);
    inet_ntop(AF_INET, &v4.sin_addr, host.data(), host.size());
    a.text_ = std::string(host.data()) + ":" + std::to_string(ntohs(v4.sin_port));
  }
  return a;
}

}  // namespace meadowgauge::transport
