// The datagrams between the instances of a fleet, as typed messages and as bytes: a checksum, then CBOR. No
// I/O. Format: docs/design/membership.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace meadowgauge::membership {

inline constexpr std::size_t max_datagram_bytes = 1200;
inline constexpr std::size_t max_name_bytes = 48;
inline constexpr std::size_t max_limits = 32;       // limits in a fleet's file
inline constexpr std::size_t max_observations = 8;  // servers in one member's state
inline constexpr double max_member_age_ms = 60000;  // older states are not accepted

// An amount of one fleet-wide limit: offered, requested or granted.
struct Quota {
  int limit = 0;    // index of the limit in the fleet's file
  double rate = 0;  // requests a second
  bool operator==(const Quota&) const = default;
};

// A first-hand observation of a server. Both times are ages at the making of the state.
struct ServerObservation {
  std::uint32_t server = 0;
  bool failing = false;
  double age_ms = 0;          // since the instance last saw the server
  double failing_for_ms = 0;  // since the failures began
};

// A member's report about itself. Other members forward it and change its age alone.
struct MemberState {
  std::string name;
  std::uint64_t incarnation = 0;    // ms of Unix time at the member's start
  std::uint64_t heartbeat = 0;      // counts its states from 1
  double age_ms = 0;                // since the member made this state
  std::uint64_t config_digest = 0;  // over the settings that all members must share
  std::vector<Quota> lendable{};    // quotas that the member offers to lend
  double unhealthy_share = 0;       // failing share of the servers it has recently seen, 0 to 1
  std::vector<ServerObservation> observations{};
};

// The values are those on the wire.
enum class DatagramKind : std::uint8_t { gossip = 0, lease_request = 1, lease_grant = 2 };

// One message from one instance to another. `kind` determines which fields are used.
struct Datagram {
  std::string from;
  std::uint64_t incarnation = 0;  // of the sender
  std::uint64_t sequence = 0;     // counts the sender's datagrams from 1
  std::uint64_t config_digest = 0;
  std::vector<MemberState> members;
  DatagramKind kind = DatagramKind::gossip;
  // Ms since its start by the sender's clock; a lease grant echoes the one of the lease request.
  double sent_at_ms = 0;
  std::uint64_t recipient_incarnation = 0;  // of a lease grant: the requester's
  std::vector<Quota> quotas;                // requested or granted
};

// Why bytes are not a datagram.
struct DatagramError {
  enum class Kind : std::uint8_t {
    malformed,            // truncated, wrong checksum, or a field of the wrong type or length
    unsupported_version,  // another version of the format
    out_of_range          // a number outside the field's range
  };
  Kind kind = Kind::malformed;
  std::string_view field{};  // a string literal: the first wrong field
  double value = 0;          // the field's number, or its length where the length is wrong
};

// Result of encode_datagram().
struct EncodedDatagram {
  std::string bytes;             // at most max_datagram_bytes
  std::size_t member_count = 0;  // the number of `members` in `bytes`
};

// Encodes as many of `members` as fit, from the front.
EncodedDatagram encode_datagram(const Datagram& datagram);
// Returns a datagram or an error for any bytes.
std::variant<Datagram, DatagramError> decode_datagram(std::string_view bytes);

// XXH3 of `text`, equal on all machines.
std::uint64_t digest(std::string_view text);

}  // namespace meadowgauge::membership
