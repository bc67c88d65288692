// Datagrams to and from the other instances of a fleet, over one UDP socket on the event loop. Does the I/O
// and counts; decides nothing.
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
// The name that the log and the figures have for it.
std::string_view name_of(DropReason reason);

// Totals since the start. Sizes are of payloads.
struct DatagramCounters {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t unsent = 0;  // the system did not take them
  std::array<std::uint64_t, static_cast<std::size_t>(DropReason::count)> dropped{};
};

// Who has a peer's index: a name, and the address that its datagrams come from and go to.
struct PeerEndpoint {
  std::string name;  // empty: nobody has this index
  transport::Address address;
};

// Owns the descriptor; the peers and the receiver are the caller's.
class DatagramSocket final : transport::Ready {
 public:
  // Called for each datagram of a peer given with set_peers(). `now` is read after the datagram was received:
  // a lease granted for it counts from then, never from an earlier time, also if the process was paused.
  using Receiver = std::function<void(PeerIndex peer, const Datagram& datagram, double now_ms)>;

  // `loop` and `clock` outlive the socket.
  DatagramSocket(transport::Loop& loop, const transport::Clock& clock, Receiver receiver);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Binds to `address`; the system's error where that fails, and then nothing has changed.
  [[nodiscard]] std::error_code open(const transport::Address& address);
  // Gives the address up; open() may follow. What is sent meanwhile goes nowhere and is not counted.
  void close();
  [[nodiscard]] bool is_open() const { return static_cast<bool>(fd_); }

  // The peers by index. Datagrams from any other address are dropped.
  void set_peers(std::vector<PeerEndpoint> peers);
  // Sends max_datagram_bytes at most. One that the system does not take is lost, like one lost on its way.
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
