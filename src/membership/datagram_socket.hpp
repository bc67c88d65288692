// The UDP socket over which an instance exchanges datagrams with the other instances of its fleet.
#pragma once

#include <array>
#include <functional>
#include <string>
#include <string_view>
#include <system_error>
#include <unordered_map>
#include <vector>

#include "membership/datagram.hpp"
#include "membership/peer.hpp"
#include "transport/address.hpp"
#include "transport/clock.hpp"
#include "transport/loop.hpp"

namespace meadowgauge::membership {

// Why a received datagram was dropped.
enum class DropReason : std::uint8_t {
  unlisted_sender,
  malformed,
  unsupported_version,
  out_of_range,
  earlier_incarnation,
  duplicate_or_late,
  count
};
// Returns the reason's name in the log and in the metrics.
std::string_view name_of(DropReason reason);

// Totals since the start. Sizes are payload bytes.
struct DatagramCounters {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t unsent = 0;  // sends that the system refused
  std::array<std::uint64_t, static_cast<std::size_t>(DropReason::count)> dropped{};
};

// The name and UDP address of the peer at an index. The peer sends from and receives at this address.
struct PeerEndpoint {
  std::string name;  // empty: the index is unused
  transport::Address address;
};

// Sends, receives and counts datagrams on the event loop. Drops datagrams that are invalid or not from a
// peer. Owns the descriptor.
class DatagramSocket final : transport::EventHandler {
 public:
  // Called for each valid datagram from a peer. `now_ms` is read after the receipt, so that a lease never
  // counts from an earlier time, even if the process was paused in between.
  using Receiver = std::function<void(PeerIndex peer, const Datagram& datagram, double now_ms)>;

  // `loop` and `clock` must outlive the socket.
  DatagramSocket(transport::Loop& loop, const transport::Clock& clock, Receiver receiver);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Binds to `address`. Returns the system's error and leaves the socket unchanged on failure.
  [[nodiscard]] std::error_code open(const transport::Address& address);
  // Releases the address; open() may be called again. While closed, send() does nothing.
  void close();
  [[nodiscard]] bool is_open() const { return static_cast<bool>(fd_); }

  // Replaces the list of peers, by index. Datagrams from any other address are dropped.
  void set_peers(std::vector<PeerEndpoint> peers);
  // Sends `bytes`, of which there are at most max_datagram_bytes. A datagram that the system refuses is
  // counted as unsent and not retried.
  void send(PeerIndex peer, std::string_view bytes);
  // Counts a datagram that was dropped for `reason`.
  void count_drop(DropReason reason) { ++counters_.dropped[static_cast<std::size_t>(reason)]; }
  [[nodiscard]] const DatagramCounters& counters() const { return counters_; }

 private:
  void ready(std::uint32_t events) override;
  void receive(std::string_view bytes, const transport::Address& from);

  transport::Loop& loop_;
  const transport::Clock& clock_;
  Receiver receiver_;
  transport::Fd fd_;
  std::uint64_t token_ = 0;
  std::vector<PeerEndpoint> peers_;
  std::unordered_map<std::string, PeerIndex> by_address_;
  DatagramCounters counters_;
};

}  // namespace meadowgauge::membership
