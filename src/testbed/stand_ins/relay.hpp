// The relay between two sockets: forwards bytes in both directions and carries out the faults that a plan
// injects.
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

class Relay final : transport::EventHandler, public TestbedContext::Component {
 public:
  // Throws std::system_error if it cannot listen. The plan outlives the relay; its times count from
  // `begin_ms`.
  Relay(TestbedContext& context, const transport::Address& listen, transport::Address to, InjectionPlan& plan,
        double begin_ms);
  ~Relay() override;
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  [[nodiscard]] transport::Address address() const { return listener_.address(); }
  static constexpr std::size_t max_records = 10000;
  // The last `max_records` injected faults in order of time; injection_count() counts all.
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
  // One of a pair's two connections.
  struct End final : transport::EventHandler {
    End(Pair& owner, Direction direction_in, TestbedContext& context, transport::Fd fd)
        : pair(owner), in(direction_in), stream(context.loop, context.pool, std::move(fd), *this) {}
    void ready(std::uint32_t events) override;
    Pair& pair;
    Direction in;  // the direction of the bytes read from this end
    transport::Stream stream;
    bool ended = false;  // the peer has closed its stream
  };
  struct Piece {
    double at_ms;  // earliest time of forwarding
    std::string bytes;
    bool end;  // forwards the end of the stream
  };
  // The bytes of one direction that have been read and not forwarded yet.
  struct Lane {
    std::deque<Piece> pieces;
    std::size_t size = 0;  // bytes
    double delay_ms = 0, rate = 0, free_at_ms = 0;
    bool half_closed = false;
  };
  struct Pair {
    Pair(Relay& owner, std::uint64_t pair_number)
        : relay(owner), number(pair_number), injector(owner.plan_, pair_number) {}
    Lane& lane(Direction direction) { return lanes[static_cast<std::size_t>(direction)]; }
    Relay& relay;
    std::uint64_t number;
    FaultInjector injector;
    std::unique_ptr<End> client;  // the connection accepted from the client
    std::unique_ptr<End> server;  // the connection opened to the server
    bool connected = false, black_holed = false;
    std::array<Lane, 2> lanes;
    double timer = transport::DueTimes::none;
  };

  void ready(std::uint32_t) override;  // the listener
  void open_pair(transport::Fd fd);
  // The functions below may end the pair, which is destroyed at the end of the turn.
  void read_from(Pair& pair, End& from);
  void read_from_both(Pair& pair);
  void on_stream_end(Pair& pair, End& from);
  void queue_steps(Pair& pair, Direction direction, std::vector<FaultInjector::Step> steps);
  void queue_bytes(Lane& lane, std::string bytes);
  // These return false if the pair has ended.
  bool carry_out(Pair& pair, const FaultInjection& fault);
  bool carry_out_all(Pair& pair, const std::vector<FaultInjector::Step>& steps);
  bool pass_due(Pair& pair);
  bool pass_due(Lane& lane, End& to, Direction direction);
  void end(Pair& pair, bool reset);
  void record_injected(Pair& pair);
  void tick();
  void tick(Pair& pair);

  InjectionPlan& plan_;
  transport::Address to_;
  double begin_ms_, tick_timer_ = transport::DueTimes::none;
  std::unordered_map<std::uint64_t, std::unique_ptr<Pair>> pairs_;
  std::vector<std::unique_ptr<Pair>> closed_;  // until the end of the turn
  std::deque<InjectedFault> injected_;
  std::uint64_t injection_count_ = 0;
  std::uint64_t next_number_ = 0;
  std::array<std::uint64_t, 2> bytes_passed_{};  // by direction
  transport::Listener listener_;
};

}  // namespace meadowgauge::testbed
