#include "program/fleet_datagrams.hpp"

#include <utility>

namespace meadowgauge::program {

using membership::Datagram;
using membership::DropReason;
using membership::Freshness;
using membership::PeerIndex;

FleetDatagrams::FleetDatagrams(transport::Loop& loop, const transport::Clock& clock,
                               membership::MemberTable& members, Identity identity,
                               membership::DatagramSocket::Receiver receiver)
    : members_(members),
      identity_(std::move(identity)),
      receiver_(std::move(receiver)),
      socket_(loop, clock, [this](PeerIndex peer, const Datagram& datagram, double now_ms) {
        receive(peer, datagram, now_ms);
      }) {}

// `now_ms` is read after the datagram is received. With an earlier time, a lender paused in between would
// start a lease before its request.
void FleetDatagrams::receive(PeerIndex peer, const Datagram& datagram, double now_ms) {
  switch (members_.accept_datagram(peer, datagram.incarnation, datagram.sequence, now_ms)) {
    case Freshness::fresh:
      return receiver_(peer, datagram, now_ms);
    case Freshness::earlier_incarnation:
      return socket_.count_drop(DropReason::earlier_incarnation);
    case Freshness::duplicate:
      return socket_.count_drop(DropReason::duplicate_or_late);
  }
}

Datagram FleetDatagrams::new_datagram(membership::DatagramKind kind) {
  return {.from = identity_.name,
          .incarnation = identity_.incarnation,
          .sequence = ++sequence_,
          .config_digest = config_digest_,
          .members = {},
          .kind = kind,
          .quotas = {}};
}

std::size_t FleetDatagrams::send(PeerIndex peer, const Datagram& datagram) {
  const auto encoded = membership::encode_datagram(datagram);
  socket_.send(peer, encoded.bytes);
  return static_cast<std::size_t>(encoded.member_count);
}

}  // namespace meadowgauge::program
