// Sends and receives the datagrams of a fleet over one UDP socket on the event loop, and counts them.
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
// The reason's name in the log and in the metrics.
std::string_view name_of(DropReason reason);

// Totals since the start. Sizes are payload bytes.
struct DatagramCounters {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t unsent = 0;  // refused by the system
  std::array<std::uint64_t, static_cast<std::size_t>(DropReason::count)> dropped{};
};

// The peer at an index: its name, and the source and destination address of its datagrams.
struct PeerEndpoint {
  std::string name;  // empty: the index is unused
  transport::Address address;
};

// Owns the descriptor; the peers and the receiver are the caller's.
class DatagramSocket final : transport::Ready {
 public:
  // Called for each datagram of a peer given with set_peers(). `now_ms` is read after the receipt, so that a
  // lease never counts from an earlier time, even when the process was paused.
  using Receiver = std::function<void(PeerIndex peer, const Datagram& datagram, double now_ms)>;

  // `loop` and `clock` outlive the socket.
  DatagramSocket(transport::Loop& loop, const transport::Clock& clock, Receiver receiver);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Binds to `address`. On the system's error the socket is unchanged.
  [[nodiscard]] std::error_code open(const transport::Address& address);
  // Releases the address; open() may follow. A closed socket drops sends without counting them.
  void close();
  [[nodiscard]] bool is_open() const { return static_cast<bool>(fd_); }

  // The peers by index. Datagrams from any other address are dropped.
  void set_peers(std::vector<PeerEndpoint> peers);
  // Sends at most max_datagram_bytes. A datagram that the system refuses is lost and counted as unsent.
  void send(PeerIndex peer, std::string_view bytes);
  // Counts a datagram that the receiver dropped.
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
