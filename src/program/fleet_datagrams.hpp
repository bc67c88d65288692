// The datagram exchange of one instance of a fleet: numbers sent datagrams and drops stale received ones.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "membership/datagram_socket.hpp"
#include "membership/member_table.hpp"
#include "transport/clock.hpp"

namespace meadowgauge::program {

// Owns the socket, the incarnation and the sequence numbers. An incarnation identifies one start of the
// process; a receiver keeps only the fields of the newest (incarnation, sequence).
class FleetDatagrams {
 public:
  struct Identity {
    std::string name;  // of this instance
    double started_at_ms = 0;
    std::uint64_t incarnation = 0;
  };

  // All references outlive this object. `receiver` is called for each fresh datagram.
  FleetDatagrams(transport::Loop& loop, const transport::Clock& clock, membership::MemberTable& members,
                 Identity identity, membership::DatagramSocket::Receiver receiver);

  [[nodiscard]] membership::DatagramSocket& socket() { return socket_; }
  [[nodiscard]] const membership::DatagramSocket& socket() const { return socket_; }

  // The digest of the configuration in use, part of each datagram. Leases are exchanged only between
  // instances with equal digests.
  void set_config_digest(std::uint64_t digest) { config_digest_ = digest; }
  [[nodiscard]] std::uint64_t config_digest() const { return config_digest_; }
  [[nodiscard]] bool config_agrees(const membership::Datagram& datagram) const {
    return datagram.config_digest == config_digest_;
  }
  // Whether the grant answers a request that this incarnation sent.
  [[nodiscard]] bool is_for_this_incarnation(const membership::Datagram& grant) const {
    return grant.recipient_incarnation == identity_.incarnation;
  }

  // Returns an otherwise empty datagram with the next sequence number.
  [[nodiscard]] membership::Datagram new_datagram(membership::DatagramKind kind);
  // Encodes and sends `datagram`. Returns how many of its member states fit.
  std::size_t send(membership::PeerIndex peer, const membership::Datagram& datagram);

  // Converts between clock times and the times in datagrams, both in ms; the latter count from the start of
  // the process.
  [[nodiscard]] double since_start_ms(double now_ms) const { return now_ms - identity_.started_at_ms; }
  [[nodiscard]] double clock_ms(double since_start_ms) const {
    return identity_.started_at_ms + since_start_ms;
  }

 private:
  void receive(membership::PeerIndex peer, const membership::Datagram& datagram, double now_ms);

  membership::MemberTable& members_;
  Identity identity_;
  std::uint64_t sequence_ = 0;  // of the last datagram created
  std::uint64_t config_digest_ = 0;
  membership::DatagramSocket::Receiver receiver_;
  membership::DatagramSocket socket_;
};

}  // namespace meadowgauge::program
