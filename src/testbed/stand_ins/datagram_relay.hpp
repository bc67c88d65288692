// Relays datagrams between balancers and applies the run's datagram faults. Each balancer is configured with
// an address of the relay for each of its peers; a datagram reaches it from its address for the sender.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "testbed/context.hpp"
#include "testbed/model/datagram_fault.hpp"
#include "transport/address.hpp"
#include "transport/fd.hpp"

namespace meadowgauge::testbed {

// Has one socket for each ordered pair of balancers. Delayed datagrams are dropped beyond 100,000.
class DatagramRelay final : TestbedContext::Component {
 public:
  // OwnAddress returns the address that a balancer is bound to; PeerAddress the relay's address that
  // `balancer` is configured with for `peer`.
  using OwnAddress = std::function<transport::Address(int balancer)>;
  using PeerAddress = std::function<transport::Address(int balancer, int peer)>;
  // Binds all sockets; throws std::system_error if that fails. `faults` outlives the relay.
  DatagramRelay(TestbedContext& context, int balancers, const OwnAddress& own_address,
                const PeerAddress& peer_address, const std::vector<DatagramFault>& faults,
                std::uint64_t seed);
  ~DatagramRelay() override;
  DatagramRelay(const DatagramRelay&) = delete;
  DatagramRelay& operator=(const DatagramRelay&) = delete;
  // Starts the run at `at_ms`, from which the faults' times count.
  void begin(double at_ms) { begin_ms_ = at_ms; }
  void on_timer(std::uint64_t number) override;

  // The number of datagrams that balancers sent, delivered or not, and their bytes.
  [[nodiscard]] std::uint64_t datagrams() const { return datagrams_; }
  [[nodiscard]] std::uint64_t bytes() const { return bytes_; }

 private:
  // The socket to which balancer `from` sends its datagrams for balancer `to`.
  struct Endpoint final : transport::EventHandler {
    Endpoint(DatagramRelay& owner, int from_balancer, int to_balancer, transport::Fd socket,
             const DatagramPath& datagram_path)
        : relay(owner), from(from_balancer), to(to_balancer), fd(std::move(socket)), path(datagram_path) {}
    void ready(std::uint32_t events) override;
    DatagramRelay& relay;
    int from, to;
    transport::Fd fd;
    DatagramPath path;
    std::uint64_t token = 0;  // of the event loop
  };
  struct Delayed {
    int from, to;
    std::string bytes;
  };
  Endpoint& endpoint(int from, int to) {
    const auto row = static_cast<std::size_t>(from) * static_cast<std::size_t>(balancers_);
    return *endpoints_[row + static_cast<std::size_t>(to)];
  }
  void forward(Endpoint& endpoint, std::string bytes);
  void deliver(int from, int to, const std::string& bytes);

  int balancers_;
  double begin_ms_ = 0, timer_ = transport::DueTimes::none;
  std::vector<std::unique_ptr<Endpoint>> endpoints_;  // null where from == to
  std::vector<transport::Address> own_addresses_;
  std::multimap<double, Delayed> delayed_;  // by delivery time, ms
  std::uint64_t datagrams_ = 0, bytes_ = 0;
};

}  // namespace meadowgauge::testbed
