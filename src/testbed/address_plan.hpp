// The addresses of a run: distinct loopback addresses that share one free port.
#pragma once

#include "transport/address.hpp"

namespace meadowgauge::testbed {

struct AddressPlan {
  int port = 0;
  // A server has one address per balancer, and so does the relay in front of it.
  [[nodiscard]] transport::Address server(int tier, int server, int balancer) const;
  [[nodiscard]] transport::Address relay(int tier, int server, int balancer) const;
  [[nodiscard]] transport::Address balancer(int tier, int balancer) const;
  // The discovery agent of a balancer.
  [[nodiscard]] transport::Address discovery(int tier, int balancer) const;
  // The address on which a balancer of the first tier receives datagrams, and its address for a peer.
  [[nodiscard]] transport::Address datagrams(int balancer) const;
  [[nodiscard]] transport::Address peer(int balancer, int peer) const;
};

}  // namespace meadowgauge::testbed
