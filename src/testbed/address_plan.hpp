// The addresses of a run: different loopback addresses that all use one free port.
#pragma once

#include "transport/address.hpp"

namespace meadowgauge::testbed {

// Maps the index of a component to its address.
struct AddressPlan {
  int port = 0;
  // A server has a separate address for each balancer, and so has the relay in front of it.
  [[nodiscard]] transport::Address server(int tier, int server, int balancer) const;
  [[nodiscard]] transport::Address relay(int tier, int server, int balancer) const;
  [[nodiscard]] transport::Address balancer(int tier, int balancer) const;
  // The discovery agent of a balancer.
  [[nodiscard]] transport::Address discovery(int tier, int balancer) const;
  // datagrams(): where a balancer of the first tier receives datagrams. peer(): where it sends those for a
  // peer; the datagram relay listens there.
  [[nodiscard]] transport::Address datagrams(int balancer) const;
  [[nodiscard]] transport::Address peer(int balancer, int peer) const;
};

}  // namespace meadowgauge::testbed
