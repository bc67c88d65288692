#include "testbed/address_plan.hpp"

#include <string>

namespace meadowgauge::testbed {

namespace {

// The second byte of 127.x.y.z. Servers and relays have a network per balancer, numbered from the first one.
constexpr int first_server_network = 16;
constexpr int first_relay_network = 64;
constexpr int balancer_network = 112;
constexpr int discovery_network = 113;
constexpr int datagram_network = 114;
constexpr int peer_network = 120;
constexpr int servers_per_subnet = 250;
constexpr int subnets_per_tier = 20;

transport::Address loopback(int a, int b, int c, int port) {
  return *transport::Address::parse("127." + std::to_string(a) + "." + std::to_string(b) + "." +
                                    std::to_string(c) + ":" + std::to_string(port));
}

transport::Address address_in_network(int first, int tier, int server, int balancer, int port) {
  return loopback(first + balancer, tier * subnets_per_tier + server / servers_per_subnet,
                  1 + server % servers_per_subnet, port);
}

}  // namespace

transport::Address AddressPlan::server(int tier, int server, int balancer) const {
  return address_in_network(first_server_network, tier, server, balancer, port);
}
transport::Address AddressPlan::relay(int tier, int server, int balancer) const {
  return address_in_network(first_relay_network, tier, server, balancer, port);
}
transport::Address AddressPlan::balancer(int tier, int balancer) const {
  return loopback(balancer_network, tier, 1 + balancer, port);
}
transport::Address AddressPlan::discovery(int tier, int balancer) const {
  return loopback(discovery_network, tier, 1 + balancer, port);
}
transport::Address AddressPlan::datagrams(int balancer) const {
  return loopback(datagram_network, 0, 1 + balancer, port);
}
transport::Address AddressPlan::peer(int balancer, int peer) const {
  return loopback(peer_network, 1 + balancer, 1 + peer, port);
}

}  // namespace meadowgauge::testbed
