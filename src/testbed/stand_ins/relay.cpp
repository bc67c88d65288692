#include "testbed/stand_ins/relay.hpp"

#include <algorithm>

namespace meadowgauge::testbed {

using transport::Stream;

namespace {

constexpr std::uint64_t tick_timer_number = std::uint64_t{1} << 39;  // above the numbers of all pairs
constexpr double tick_ms = 5;                                        // accuracy of faults at position `time`
constexpr double idle_tick_ms = 100;                                 // without faults at position `time`
constexpr std::size_t max_lane_bytes = std::size_t{256} * 1024;      // a full lane stops reading
constexpr double pieces_per_second = 50;                             // of a throttled lane

}  // namespace

Relay::Relay(TestbedContext& context, const transport::Address& listen, transport::Address to,
             InjectionPlan& plan, double begin_ms)
    : Component(context),
      plan_(plan),
      to_(std::move(to)),
      begin_ms_(begin_ms),
      listener_(context_.loop, listen, *this) {
  tick();
}

Relay::~Relay() = default;

void Relay::ready(std::uint32_t) {
  bool full = false;
  while (auto fd = listener_.accept(full)) open_pair(std::move(fd));
}

void Relay::open_pair(transport::Fd fd) {
  auto number = next_number_++;
  auto& pair = *pairs_.emplace(number, std::make_unique<Pair>(*this, number)).first->second;
  pair.client = std::make_unique<End>(pair, Direction::to_server, context_, std::move(fd));
  auto steps = pair.injector.connected(context_.now_ms - begin_ms_);
  record_injected(pair);
  if (!carry_out_all(pair, steps)) return;
  auto dialled = Stream::dial(to_);
  if (!dialled) return end(pair, true);
  pair.server = std::make_unique<End>(pair, Direction::to_client, context_, std::move(dialled));
}

void Relay::End::ready(std::uint32_t events) {
  if (!stream.open()) return;
  auto& relay = pair.relay;
  if (in == Direction::to_client && !pair.connected) {
    if (!(events & (EPOLLOUT | EPOLLERR | EPOLLHUP))) return;
    // Resets the client's connection, as a refusing server would.
    if (stream.dial_error() != 0) return relay.end(pair, true);
    pair.connected = true;
    relay.read_from(pair, *pair.client);
    if (!pair.client || !pair.client->stream.open()) return;
  }
  // The event may make room for buffered bytes in either direction.
  if (relay.pass_due(pair)) relay.read_from_both(pair);
}

void Relay::read_from_both(Pair& pair) {
  auto number = pair.number;
  if (pair.client) read_from(pair, *pair.client);
  if (pairs_.contains(number) && pair.server) read_from(pair, *pair.server);
}

void Relay::read_from(Pair& pair, End& from) {
  auto& lane = pair.lane(from.in);
  while (from.stream.open() && !from.ended && lane.size < max_lane_bytes && pair.connected) {
    if (from.stream.bytes().empty()) {
      auto got = from.stream.fill();
      if (got == Stream::ReadResult::nothing) return;
      if (got == Stream::ReadResult::broken && !pair.black_holed) return end(pair, true);
      if (got != Stream::ReadResult::bytes) return on_stream_end(pair, from);
    }
    std::string bytes(from.stream.bytes());
    from.stream.consume(bytes.size());
    if (pair.black_holed || lane.half_closed) continue;
    auto number = pair.number;
    auto steps = pair.injector.feed(from.in, bytes, context_.now_ms - begin_ms_);
    record_injected(pair);
    queue_steps(pair, from.in, std::move(steps));
    if (!pairs_.contains(number)) return;
  }
}

void Relay::on_stream_end(Pair& pair, End& from) {
  from.ended = true;
  if (pair.black_holed) {
    // Neither side sees the other's end; the pair is destroyed once both sides have ended.
    if (pair.client->ended && pair.server && pair.server->ended) end(pair, true);
    return;
  }
  auto& lane = pair.lane(from.in);
  if (!lane.half_closed)
    lane.pieces.push_back({std::max(context_.now_ms + lane.delay_ms, lane.free_at_ms), {}, true});
  pass_due(pair);
}

void Relay::queue_steps(Pair& pair, Direction direction, std::vector<FaultInjector::Step> steps) {
  for (auto& step : steps) {
    queue_bytes(pair.lane(direction), std::move(step.pass));
    if (!step.fault) continue;
    bool ends =
        step.fault->kind == FaultInjection::Kind::close || step.fault->kind == FaultInjection::Kind::reset;
    // The receiver gets the bytes before a close or reset first.
    if (ends && !pass_due(pair)) return;
    if (!carry_out(pair, *step.fault)) return;
  }
  pass_due(pair);
}

// A throttled lane queues bytes in pieces, so that the rate is exceeded by at most one piece.
void Relay::queue_bytes(Lane& lane, std::string bytes) {
  while (!bytes.empty()) {
    double at_ms = std::max(context_.now_ms + lane.delay_ms, lane.free_at_ms);
    std::string piece;
    if (lane.rate > 0) {
      auto size = std::max<std::size_t>(1, static_cast<std::size_t>(lane.rate / pieces_per_second));
      piece = bytes.substr(0, size);
      bytes.erase(0, piece.size());
      at_ms += static_cast<double>(piece.size()) / lane.rate * 1000;
    } else {
      piece = std::exchange(bytes, {});
    }
    lane.free_at_ms = at_ms;
    lane.size += piece.size();
    lane.pieces.push_back({at_ms, std::move(piece), false});
  }
}

bool Relay::carry_out(Pair& pair, const FaultInjection& fault) {
  using Kind = FaultInjection::Kind;
  auto& lane = pair.lane(fault.direction);
  switch (fault.kind) {
    case Kind::delay:
      lane.delay_ms = fault.ms;
      return true;
    case Kind::throttle:
      lane.rate = fault.rate;
      return true;
    case Kind::half_close:
      lane.half_closed = true;
      lane.pieces.push_back({lane.pieces.empty() ? context_.now_ms : lane.pieces.back().at_ms, {}, true});
      return true;
    case Kind::black_hole:
      pair.black_holed = true;
      return true;
    case Kind::close:
    case Kind::reset:
      end(pair, fault.kind == Kind::reset);
      return false;
    case Kind::corrupt:
      return true;  // the injector has corrupted the bytes
  }
  return true;
}

bool Relay::carry_out_all(Pair& pair, const std::vector<FaultInjector::Step>& steps) {
  return std::all_of(steps.begin(), steps.end(),
                     [&](const auto& step) { return carry_out(pair, *step.fault); });
}

// Writes the due pieces of a lane as far as its receiver accepts them. Returns false if the receiver has
// disconnected.
bool Relay::pass_due(Lane& lane, End& to, Direction direction) {
  while (!lane.pieces.empty() && lane.pieces.front().at_ms <= context_.now_ms) {
    auto& piece = lane.pieces.front();
    if (piece.end) {
      if (!to.stream.flush()) return false;
      if (!to.stream.flushed()) break;
      to.stream.end_sending();
    } else {
      if (to.stream.out().size() > max_lane_bytes || !to.stream.out().append(piece.bytes)) break;
      lane.size -= piece.bytes.size();
      bytes_passed_[static_cast<std::size_t>(direction)] += piece.bytes.size();
    }
    lane.pieces.pop_front();
  }
  return to.stream.flush();
}

bool Relay::pass_due(Pair& pair) {
  double next_ms = transport::DueTimes::none;
  for (auto direction : {Direction::to_server, Direction::to_client}) {
    auto* to = direction == Direction::to_server ? pair.server.get() : pair.client.get();
    if (!to || !to->stream.open() || (direction == Direction::to_server && !pair.connected)) continue;
    auto& lane = pair.lane(direction);
    if (!pass_due(lane, *to, direction)) {
      end(pair, true);
      return false;
    }
    if (!lane.pieces.empty())
      next_ms = std::min(next_ms, std::max(lane.pieces.front().at_ms, context_.now_ms + 1));
  }
  bool both_ended = pair.connected && pair.client->ended && pair.server->ended;
  if (both_ended && pair.lanes[0].pieces.empty() && pair.lanes[1].pieces.empty() &&
      pair.client->stream.flushed() && pair.server->stream.flushed()) {
    end(pair, false);
    return false;
  }
  set_timer(pair.number, pair.timer, next_ms);
  return true;
}

void Relay::end(Pair& pair, bool reset) {
  auto it = pairs_.find(pair.number);
  if (it == pairs_.end()) return;
  set_timer(pair.number, pair.timer, transport::DueTimes::none);
  for (auto* end : {pair.client.get(), pair.server.get()})
    if (end) reset ? end->stream.reset() : end->stream.close();
  record_injected(pair);
  closed_.push_back(std::move(it->second));
  schedule_cleanup();
  pairs_.erase(it);
}

void Relay::record_injected(Pair& pair) {
  for (const auto& fault : pair.injector.take_injected()) {
    ++injection_count_;
    injected_.push_back(fault);
    if (injected_.size() > max_records) injected_.pop_front();
  }
}

void Relay::tick() {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, pair] : pairs_) numbers.push_back(number);
  std::sort(numbers.begin(), numbers.end());
  for (auto number : numbers)
    if (auto it = pairs_.find(number); it != pairs_.end()) tick(*it->second);
  bool timed = std::any_of(plan_.entries().begin(), plan_.entries().end(), [](const auto& entry) {
    return entry.injection.position == FaultInjection::Position::time;
  });
  set_timer(tick_timer_number, tick_timer_, context_.now_ms + (timed ? tick_ms : idle_tick_ms));
}

void Relay::tick(Pair& pair) {
  auto steps = pair.injector.tick(context_.now_ms - begin_ms_);
  record_injected(pair);
  if (carry_out_all(pair, steps) && !steps.empty()) pass_due(pair);
}

void Relay::on_timer(std::uint64_t number) {
  if (number == tick_timer_number) return tick();
  auto it = pairs_.find(number);
  if (it == pairs_.end()) return;
  auto& pair = *it->second;
  // Forwarded pieces make room in the lane for bytes still in the socket's buffer.
  if (pass_due(pair)) read_from_both(pair);
}

void Relay::cleanup() { closed_.clear(); }

}  // namespace meadowgauge::testbed
