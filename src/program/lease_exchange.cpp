#include "program/lease_exchange.hpp"

#include <utility>

namespace meadowgauge::program {

using membership::Datagram;
using membership::DatagramKind;
using membership::DropReason;
using membership::PeerIndex;

namespace {

constexpr double requests_per_lease = 4;          // rounds of lease requests per lease duration
constexpr double urgent_requests_per_lease = 10;  // the same after client requests were rejected

}  // namespace

void LeaseExchange::tick(double now_ms) {
  const bool urgent = limits_.rejected_since_round() && now_ms >= next_urgent_requests_at_ms_;
  if (now_ms >= next_requests_at_ms_ || urgent) send_requests(now_ms);
}

void LeaseExchange::send_requests(double now_ms) {
  next_requests_at_ms_ = now_ms + limits_.lease_ms() / requests_per_lease;
  next_urgent_requests_at_ms_ = now_ms + limits_.lease_ms() / urgent_requests_per_lease;
  for (auto& request : limits_.lease_requests(now_ms)) {
    auto datagram = datagrams_.new_datagram(DatagramKind::lease_request);
    datagram.sent_at_ms = datagrams_.since_start_ms(now_ms);
    datagram.quotas = std::move(request.quotas);
    if (!may_send(now_ms)) return;
    datagrams_.send(request.lender, datagram);
    ++counters_.requests_sent;
  }
}

// Checks the budget before lending: a share lent without a sent grant is unusable until the lease ends.
void LeaseExchange::receive_request(PeerIndex peer, const Datagram& request, double now_ms) {
  if (!may_send(now_ms)) return;
  auto grant = datagrams_.new_datagram(DatagramKind::lease_grant);
  grant.sent_at_ms = request.sent_at_ms;
  grant.recipient_incarnation = request.incarnation;
  grant.quotas = limits_.grant(peer, request.incarnation, request.quotas, now_ms);
  ++counters_.grants_sent;
  datagrams_.send(peer, grant);
}

void LeaseExchange::receive_grant(PeerIndex peer, const Datagram& grant, double now_ms) {
  auto& socket = datagrams_.socket();
  if (!datagrams_.is_for_this_incarnation(grant)) return socket.count_drop(DropReason::earlier_incarnation);
  if (limits_.accept_grant(peer, datagrams_.clock_ms(grant.sent_at_ms), grant.quotas, now_ms))
    ++counters_.grants_received;
  else
    socket.count_drop(DropReason::duplicate_or_late);
}

}  // namespace meadowgauge::program
