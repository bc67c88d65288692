#include "testbed/stand_ins/datagram_relay.hpp"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace meadowgauge::testbed {

namespace {

constexpr std::size_t max_delayed_datagrams = 100000;
constexpr std::size_t max_datagram_bytes = 65536;

transport::Fd bind_datagram_socket(const transport::Address& at) {
  transport::Fd fd(socket(at.family(), SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd || bind(fd.get(), at.raw(), at.size()) != 0)
    throw std::system_error(errno, std::generic_category(), "bind " + at.text());
  return fd;
}

}  // namespace

DatagramRelay::DatagramRelay(TestbedContext& context, int balancers, const OwnAddress& own_address,
                             const PeerAddress& peer_address, const std::vector<DatagramFault>& faults,
                             std::uint64_t seed)
    : Component(context), balancers_(balancers) {
  for (int from = 0; from < balancers; ++from) {
    own_addresses_.push_back(own_address(from));
    for (int to = 0; to < balancers; ++to) {
      auto& endpoint = endpoints_.emplace_back();
      if (from == to) continue;
      auto fd = bind_datagram_socket(peer_address(from, to));
      endpoint =
          std::make_unique<Endpoint>(*this, from, to, std::move(fd), DatagramPath(faults, from, to, seed));
      endpoint->token = context_.loop.add(endpoint->fd.get(), *endpoint, EPOLLIN);
    }
  }
}

DatagramRelay::~DatagramRelay() {
  for (auto& endpoint : endpoints_)
    if (endpoint) context_.loop.remove(endpoint->token, endpoint->fd.get());
}

void DatagramRelay::Endpoint::ready(std::uint32_t) {
  static thread_local std::array<char, max_datagram_bytes> bytes;
  for (;;) {
    sockaddr_storage sender{};
    socklen_t size = sizeof sender;
    auto received =
        recvfrom(fd.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&sender), &size);
    // ECONNREFUSED reports that an earlier datagram went to a closed port; the socket stays usable.
    if (received < 0 && errno == ECONNREFUSED) continue;
    if (received < 0) return;
    // Ignores datagrams from any other address than that of balancer `from`.
    bool is_expected_sender =
        transport::Address::seen(sender, size) == relay.own_addresses_[static_cast<std::size_t>(from)];
    if (is_expected_sender)
      relay.forward(*this, std::string(bytes.data(), static_cast<std::size_t>(received)));
  }
}

void DatagramRelay::forward(Endpoint& endpoint, std::string bytes) {
  ++datagrams_;
  bytes_ += bytes.size();
  double now_ms = context_.now_ms - begin_ms_;
  for (auto& delivery : endpoint.path.send(std::move(bytes), now_ms)) {
    if (delivery.at_ms <= now_ms)
      deliver(endpoint.from, endpoint.to, delivery.bytes);
    else if (delayed_.size() < max_delayed_datagrams)
      delayed_.emplace(delivery.at_ms + begin_ms_,
                       Delayed{endpoint.from, endpoint.to, std::move(delivery.bytes)});
  }
  on_timer(0);
}

// Sends from the socket whose address the receiver has configured for the sender.
void DatagramRelay::deliver(int from, int to, const std::string& bytes) {
  const auto& at = own_addresses_[static_cast<std::size_t>(to)];
  sendto(endpoint(to, from).fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL, at.raw(), at.size());
}

void DatagramRelay::on_timer(std::uint64_t) {
  while (!delayed_.empty() && delayed_.begin()->first <= context_.now_ms) {
    auto delayed = std::move(delayed_.begin()->second);
    delayed_.erase(delayed_.begin());
    deliver(delayed.from, delayed.to, delayed.bytes);
  }
  if (delayed_.empty())
    set_timer(0, timer_, transport::DueTimes::none);
  else
    set_timer(0, timer_, delayed_.begin()->first);
}

}  // namespace meadowgauge::testbed
