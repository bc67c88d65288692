#include "membership/datagram_socket.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace meadowgauge::membership {

namespace {

constexpr int max_datagrams_per_turn = 64;  // lets the event loop serve requests in between

// Names in the log and in the metrics, which docs/operate/fleet.md documents; must not change.
constexpr std::array<std::string_view, static_cast<std::size_t>(DropReason::count)> reason_names{
    "unlisted sender", "torn", "foreign version", "out of range", "earlier boot", "doubled or late"};

// Converts a configured address so that its text equals the text of a received datagram's address.
transport::Address canonical_address(const transport::Address& address) {
  sockaddr_storage raw{};
  std::memcpy(&raw, address.raw(), address.size());
  return transport::Address::seen(raw, address.size());
}

DropReason drop_reason(const DatagramError& error) {
  switch (error.kind) {
    case DatagramError::Kind::unsupported_version:
      return DropReason::unsupported_version;
    case DatagramError::Kind::out_of_range:
      return DropReason::out_of_range;
    case DatagramError::Kind::malformed:
      break;
  }
  return DropReason::malformed;
}

}  // namespace

std::string_view name_of(DropReason reason) { return reason_names[static_cast<std::size_t>(reason)]; }

DatagramSocket::DatagramSocket(transport::Loop& loop, const transport::Clock& clock, Receiver receiver)
    : loop_(loop), clock_(clock), receiver_(std::move(receiver)) {}

DatagramSocket::~DatagramSocket() { close(); }

std::error_code DatagramSocket::open(const transport::Address& address) {
  transport::Fd fd(socket(address.family(), SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd || bind(fd.get(), address.raw(), address.size()) != 0) return {errno, std::generic_category()};
  token_ = loop_.add(fd.get(), *this, EPOLLIN);
  fd_ = std::move(fd);
  return {};
}

void DatagramSocket::close() {
  if (!fd_) return;
  loop_.remove(token_, fd_.get());
  fd_.close();
}

void DatagramSocket::set_peers(std::vector<PeerEndpoint> peers) {
  peers_ = std::move(peers);
  by_address_.clear();
  for (std::size_t i = 0; i < peers_.size(); ++i)
    if (!peers_[i].name.empty()) by_address_[canonical_address(peers_[i].address).text()] = peer_at(i);
}

void DatagramSocket::send(PeerIndex peer, std::string_view bytes) {
  if (!fd_) return;
  const auto& to = peers_[slot(peer)].address;
  auto sent = sendto(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL, to.raw(), to.size());
  if (sent < 0) {
    ++counters_.unsent;
    return;
  }
  ++counters_.sent;
  counters_.sent_bytes += bytes.size();
}

void DatagramSocket::ready(std::uint32_t) {
  std::array<char, max_datagram_bytes + 1> bytes{};
  for (int i = 0; i < max_datagrams_per_turn; ++i) {
    sockaddr_storage from{};
    socklen_t from_size = sizeof from;
    auto size =
        recvfrom(fd_.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&from), &from_size);
    if (size < 0 && errno == ECONNREFUSED) continue;  // reports an earlier send, not this receive
    if (size < 0) return;
    receive(std::string_view(bytes.data(), static_cast<std::size_t>(size)),
            transport::Address::seen(from, from_size));
    if (!fd_) return;
  }
  loop_.again(token_, EPOLLIN);
}

void DatagramSocket::receive(std::string_view bytes, const transport::Address& from) {
  ++counters_.received;
  counters_.received_bytes += bytes.size();
  auto sender = by_address_.find(from.text());
  if (sender == by_address_.end()) return count_drop(DropReason::unlisted_sender);
  auto decoded = decode_datagram(bytes);
  if (const auto* error = std::get_if<DatagramError>(&decoded)) return count_drop(drop_reason(*error));
  const auto& datagram = std::get<Datagram>(decoded);
  // The peer at this address must use its configured name.
  if (datagram.from != peers_[slot(sender->second)].name) return count_drop(DropReason::unlisted_sender);
  receiver_(sender->second, datagram, clock_.now());
}

}  // namespace meadowgauge::membership
