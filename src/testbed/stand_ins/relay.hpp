// A TCP relay between clients and one server: forwards bytes in both directions and applies the faults of a
// plan.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "testbed/context.hpp"
#include "testbed/model/fault_injector.hpp"
#include "transport/listener.hpp"
#include "transport/stream.hpp"

namespace meadowgauge::testbed {

// Opens one connection to the server for each client connection. The two form a pair, which ends as a whole.
// A direction is not read while 256 KiB or more wait in its buffer to be forwarded.
class Relay final : transport::EventHandler, public TestbedContext::Component {
 public:
  // Relays connections from `listen` to `to`. Throws std::system_error if it cannot listen. The plan outlives
  // the relay; the times of its faults count from `begin_ms`.
  Relay(TestbedContext& context, const transport::Address& listen, transport::Address to, InjectionPlan& plan,
        double begin_ms);
  ~Relay() override;
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  [[nodiscard]] transport::Address address() const { return listener_.address(); }
  static constexpr std::size_t max_records = 10000;
  // Returns the last `max_records` injected faults in order of time; injection_count() counts all.
  [[nodiscard]] const std::deque<InjectedFault>& injected() const { return injected_; }
  [[nodiscard]] std::uint64_t injection_count() const { return injection_count_; }
  [[nodiscard]] std::size_t open_connections() const { return pairs_.size(); }
  [[nodiscard]] std::uint64_t connections() const { return next_number_; }
  [[nodiscard]] std::uint64_t bytes_passed(Direction direction) const {
    return bytes_passed_[static_cast<std::size_t>(direction)];
  }

  void on_timer(std::uint64_t number) override;
  void cleanup() override;

 private:
  struct Pair;
  // One of the two connections of a pair.
  struct End final : transport::EventHandler {
    End(Pair& owner, Direction direction_of_reads, TestbedContext& context, transport::Fd fd)
        : pair(owner),
          read_direction(direction_of_reads),
          stream(context.loop, context.pool, std::move(fd), *this) {}
    void ready(std::uint32_t events) override;
    Pair& pair;
    Direction read_direction;  // the direction of the bytes read from this end
    transport::Stream stream;
    bool ended = false;  // the peer has ended its stream
  };
  // Bytes, or the end of the stream, that wait to be forwarded.
  struct Chunk {
    double at_ms;  // when the chunk may be forwarded
    std::string bytes;
    bool end;  // true: the end of the stream
  };
  // The bytes of one direction that are read and not forwarded yet, and the faults of that direction.
  struct DirectionBuffer {
    std::deque<Chunk> chunks;
    std::size_t size = 0;  // bytes
    // rate: bytes a second, 0: no limit; free_at_ms: when the last chunk is due.
    double delay_ms = 0, rate = 0, free_at_ms = 0;
    bool half_closed = false;
  };
  // A client's connection and the connection to the server that it is relayed to.
  struct Pair {
    Pair(Relay& owner, std::uint64_t pair_number)
        : relay(owner), number(pair_number), injector(owner.plan_, pair_number) {}
    DirectionBuffer& buffer(Direction direction) { return buffers[static_cast<std::size_t>(direction)]; }
    Relay& relay;
    std::uint64_t number;
    FaultInjector injector;
    std::unique_ptr<End> client;  // the connection accepted from the client
    std::unique_ptr<End> server;  // the connection opened to the server
    bool connected = false, black_holed = false;
    std::array<DirectionBuffer, 2> buffers;
    double timer = transport::DueTimes::none;
  };

  void ready(std::uint32_t) override;  // accepts connections
  void open_pair(transport::Fd fd);
  // All functions below may end the pair, which is then destroyed at the end of the turn.
  // Reads from one end, injects faults and queues the bytes for the other end.
  void read_from(Pair& pair, End& from);
  void read_from_both(Pair& pair);
  void on_stream_end(Pair& pair, End& from);
  void queue_steps(Pair& pair, Direction direction, std::vector<FaultInjector::Step> steps);
  void queue_bytes(DirectionBuffer& buffer, std::string bytes);
  // The next three return false if the pair has ended.
  bool apply_fault(Pair& pair, const FaultInjection& fault);
  bool apply_faults(Pair& pair, const std::vector<FaultInjector::Step>& steps);
  bool forward_due(Pair& pair);
  bool forward_due(DirectionBuffer& buffer, End& to, Direction direction);
  void end(Pair& pair, bool reset);
  void record_injected(Pair& pair);
  // Applies the faults at position `time` that are due, in all pairs.
  void tick();
  void tick(Pair& pair);

  InjectionPlan& plan_;
  transport::Address to_;
  double begin_ms_, tick_timer_ = transport::DueTimes::none;
  std::unordered_map<std::uint64_t, std::unique_ptr<Pair>> pairs_;
  std::vector<std::unique_ptr<Pair>> closed_;  // kept until the end of the turn
  std::deque<InjectedFault> injected_;
  std::uint64_t injection_count_ = 0;
  std::uint64_t next_number_ = 0;
  std::array<std::uint64_t, 2> bytes_passed_{};  // by direction
  transport::Listener listener_;
};

}  // namespace meadowgauge::testbed
