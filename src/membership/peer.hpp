// The index that identifies another instance of the fleet in the member table, the socket and the leases.
#pragma once

#include <cstddef>
#include <cstdint>

namespace meadowgauge::membership {

// Assigned by MemberTable::set_members(). A member keeps its index while it is listed; after that, the index
// may be reused for another member.
enum class PeerIndex : std::uint32_t {};

// Convert between an index and the position in a vector with one element per peer.
constexpr std::size_t slot(PeerIndex peer) { return static_cast<std::size_t>(peer); }
constexpr PeerIndex peer_at(std::size_t slot) { return static_cast<PeerIndex>(slot); }

}  // namespace meadowgauge::membership
