// Encodes and decodes the datagrams that the instances of a fleet exchange: a checksum, then CBOR. No I/O.
// Format: docs/design/membership.md.
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
inline constexpr std::size_t max_limits = 32;       // fleet-wide limits in a configuration
inline constexpr std::size_t max_observations = 8;  // observations in one member's state
inline constexpr double max_member_age_ms = 60000;  // a datagram with an older state is rejected

// A part of the rate of one fleet-wide limit that is offered, requested or granted.
struct Quota {
  int limit = 0;    // index of the limit in the configuration
  double rate = 0;  // requests a second
  bool operator==(const Quota&) const = default;
};

// A first-hand observation of a server. Both times are relative to the time at which the state was made.
struct ServerObservation {
  std::uint32_t server = 0;
  bool failing = false;
  double age_ms = 0;          // since the instance's newest observation of the server
  double failing_for_ms = 0;  // since the failures began; 0 for a healthy server
};

// A member's report about itself. Other members forward the state unchanged except for its age.
struct MemberState {
  std::string name;
  std::uint64_t incarnation = 0;    // start time of the member's process, in ms of Unix time
  std::uint64_t heartbeat = 0;      // number of the state within the incarnation, from 1
  double age_ms = 0;                // since the member made this state
  std::uint64_t config_digest = 0;  // over the settings that must be equal at all members
  std::vector<Quota> lendable{};    // quotas that the member offers to lend
  double unhealthy_share = 0;       // failing share of the servers that the member has recently seen, 0 to 1
  std::vector<ServerObservation> observations{};
};

// The values are part of the wire format.
enum class DatagramKind : std::uint8_t { gossip = 0, lease_request = 1, lease_grant = 2 };

// One message from one instance to another. `kind` determines which fields are used.
struct Datagram {
  std::string from;
  std::uint64_t incarnation = 0;  // of the sender
  std::uint64_t sequence = 0;     // number of the datagram within the sender's incarnation, from 1
  std::uint64_t config_digest = 0;
  std::vector<MemberState> members;
  DatagramKind kind = DatagramKind::gossip;
  // Time since the sender's start by the sender's clock. A lease grant echoes the value of the lease request.
  double sent_at_ms = 0;
  std::uint64_t recipient_incarnation = 0;  // set in a lease grant: the incarnation of the requester
  std::vector<Quota> quotas;                // requested or granted
};

// Why a sequence of bytes is not a valid datagram.
struct DatagramError {
  enum class Kind : std::uint8_t {
    malformed,            // truncated, wrong checksum, or a field with a wrong type or length
    unsupported_version,  // a different version of the format
    out_of_range          // a number outside the field's range
  };
  Kind kind = Kind::malformed;
  std::string_view field{};  // name of the first invalid field; a string literal
  double value = 0;          // the field's value, or its length if the length is wrong
};

// Result of encode_datagram().
struct EncodedDatagram {
  std::string bytes;             // at most max_datagram_bytes long
  std::size_t member_count = 0;  // how many of `members` fitted into `bytes`
};

// Encodes the datagram with as many of `members` as fit, in order.
EncodedDatagram encode_datagram(const Datagram& datagram);
// Decodes one datagram. Accepts arbitrary bytes; returns an error if they are not a valid datagram.
std::variant<Datagram, DatagramError> decode_datagram(std::string_view bytes);

// Returns the 64-bit XXH3 hash of `text`, which is identical on all machines.
std::uint64_t digest(std::string_view text);

}  // namespace meadowgauge::membership
