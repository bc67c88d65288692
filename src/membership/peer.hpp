// The index that the member table, the socket and the leases use for another instance of the fleet.
#pragma once

#include <cstddef>
#include <cstdint>

namespace meadowgauge::membership {

// Assigned by MemberTable::set_members(). A member keeps its index while it is listed; the index is reused
// afterwards.
enum class PeerIndex : std::uint32_t {};

// Converts between an index and the position in a vector with an element for each peer.
constexpr std::size_t slot(PeerIndex peer) { return static_cast<std::size_t>(peer); }
constexpr PeerIndex peer_at(std::size_t slot) { return static_cast<PeerIndex>(slot); }

}  // namespace meadowgauge::membership
