#include "testbed/stand_ins/relay.hpp"

#include <algorithm>

namespace meadowgauge::testbed {

using transport::Stream;

namespace {

constexpr std::uint64_t tick_timer_number = std::uint64_t{1} << 39;  // above all pair numbers
constexpr double tick_ms = 5;                                        // accuracy of faults at position `time`
constexpr double idle_tick_ms = 100;                                 // without faults at position `time`
constexpr std::size_t max_buffer_bytes = std::size_t{256} * 1024;    // a full buffer stops reading
constexpr double throttled_chunks_per_s = 50;                        // chunk rate of a throttled direction

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
  if (!apply_faults(pair, steps)) return;
  auto server_fd = Stream::dial(to_);
  if (!server_fd) return end(pair, true);
  pair.server = std::make_unique<End>(pair, Direction::to_client, context_, std::move(server_fd));
}

void Relay::End::ready(std::uint32_t events) {
  if (!stream.open()) return;
  auto& relay = pair.relay;
  if (read_direction == Direction::to_client && !pair.connected) {
    if (!(events & (EPOLLOUT | EPOLLERR | EPOLLHUP))) return;
    // Resets the client's connection, as a server that refuses connections does.
    if (stream.dial_error() != 0) return relay.end(pair, true);
    pair.connected = true;
    relay.read_from(pair, *pair.client);
    if (!pair.client || !pair.client->stream.open()) return;
  }
  // The event may let either direction forward buffered bytes and read further ones.
  if (relay.forward_due(pair)) relay.read_from_both(pair);
}

void Relay::read_from_both(Pair& pair) {
  auto number = pair.number;
  if (pair.client) read_from(pair, *pair.client);
  if (pairs_.contains(number) && pair.server) read_from(pair, *pair.server);
}

void Relay::read_from(Pair& pair, End& from) {
  auto& buffer = pair.buffer(from.read_direction);
  while (from.stream.open() && !from.ended && buffer.size < max_buffer_bytes && pair.connected) {
    if (from.stream.bytes().empty()) {
      auto read_result = from.stream.fill();
      if (read_result == Stream::ReadResult::nothing) return;
      if (read_result == Stream::ReadResult::broken && !pair.black_holed) return end(pair, true);
      if (read_result != Stream::ReadResult::bytes) return on_stream_end(pair, from);
    }
    std::string bytes(from.stream.bytes());
    from.stream.consume(bytes.size());
    if (pair.black_holed || buffer.half_closed) continue;
    auto number = pair.number;
    auto steps = pair.injector.feed(from.read_direction, bytes, context_.now_ms - begin_ms_);
    record_injected(pair);
    queue_steps(pair, from.read_direction, std::move(steps));
    if (!pairs_.contains(number)) return;
  }
}

void Relay::on_stream_end(Pair& pair, End& from) {
  from.ended = true;
  if (pair.black_holed) {
    // A black-holed end of stream is not forwarded; the pair is destroyed once both streams have ended.
    if (pair.client->ended && pair.server && pair.server->ended) end(pair, true);
    return;
  }
  auto& buffer = pair.buffer(from.read_direction);
  if (!buffer.half_closed)
    buffer.chunks.push_back({std::max(context_.now_ms + buffer.delay_ms, buffer.free_at_ms), {}, true});
  forward_due(pair);
}

void Relay::queue_steps(Pair& pair, Direction direction, std::vector<FaultInjector::Step> steps) {
  for (auto& step : steps) {
    queue_bytes(pair.buffer(direction), std::move(step.pass));
    if (!step.fault) continue;
    bool disconnects =
        step.fault->kind == FaultInjection::Kind::close || step.fault->kind == FaultInjection::Kind::reset;
    // Forwards the bytes before the position of a close or reset first.
    if (disconnects && !forward_due(pair)) return;
    if (!apply_fault(pair, *step.fault)) return;
  }
  forward_due(pair);
}

// Queues bytes for forwarding. A throttled direction queues them in chunks, each due once its last byte fits
// the rate, so that the rate is exceeded by at most one chunk.
void Relay::queue_bytes(DirectionBuffer& buffer, std::string bytes) {
  while (!bytes.empty()) {
    double at_ms = std::max(context_.now_ms + buffer.delay_ms, buffer.free_at_ms);
    std::string chunk;
    if (buffer.rate > 0) {
      auto size = std::max<std::size_t>(1, static_cast<std::size_t>(buffer.rate / throttled_chunks_per_s));
      chunk = bytes.substr(0, size);
      bytes.erase(0, chunk.size());
      at_ms += static_cast<double>(chunk.size()) / buffer.rate * 1000;
    } else {
      chunk = std::exchange(bytes, {});
    }
    buffer.free_at_ms = at_ms;
    buffer.size += chunk.size();
    buffer.chunks.push_back({at_ms, std::move(chunk), false});
  }
}

bool Relay::apply_fault(Pair& pair, const FaultInjection& fault) {
  using Kind = FaultInjection::Kind;
  auto& buffer = pair.buffer(fault.direction);
  switch (fault.kind) {
    case Kind::delay:
      buffer.delay_ms = fault.ms;
      return true;
    case Kind::throttle:
      buffer.rate = fault.rate;
      return true;
    case Kind::half_close:
      buffer.half_closed = true;
      buffer.chunks.push_back(
          {buffer.chunks.empty() ? context_.now_ms : buffer.chunks.back().at_ms, {}, true});
      return true;
    case Kind::black_hole:
      pair.black_holed = true;
      return true;
    case Kind::close:
    case Kind::reset:
      end(pair, fault.kind == Kind::reset);
      return false;
    case Kind::corrupt:
      return true;  // FaultInjector has corrupted the bytes
  }
  return true;
}

bool Relay::apply_faults(Pair& pair, const std::vector<FaultInjector::Step>& steps) {
  return std::all_of(steps.begin(), steps.end(),
                     [&](const auto& step) { return apply_fault(pair, *step.fault); });
}

// Writes the due chunks of a buffer as far as the receiver accepts them. Returns false if the receiver has
// disconnected.
bool Relay::forward_due(DirectionBuffer& buffer, End& to, Direction direction) {
  while (!buffer.chunks.empty() && buffer.chunks.front().at_ms <= context_.now_ms) {
    auto& chunk = buffer.chunks.front();
    if (chunk.end) {
      if (!to.stream.flush()) return false;
      if (!to.stream.flushed()) break;
      to.stream.end_sending();
    } else {
      if (to.stream.out().size() > max_buffer_bytes || !to.stream.out().append(chunk.bytes)) break;
      buffer.size -= chunk.bytes.size();
      bytes_passed_[static_cast<std::size_t>(direction)] += chunk.bytes.size();
    }
    buffer.chunks.pop_front();
  }
  return to.stream.flush();
}

bool Relay::forward_due(Pair& pair) {
  double next_ms = transport::DueTimes::none;
  for (auto direction : {Direction::to_server, Direction::to_client}) {
    auto* to = direction == Direction::to_server ? pair.server.get() : pair.client.get();
    if (!to || !to->stream.open() || (direction == Direction::to_server && !pair.connected)) continue;
    auto& buffer = pair.buffer(direction);
    if (!forward_due(buffer, *to, direction)) {
      end(pair, true);
      return false;
    }
    if (!buffer.chunks.empty())
      next_ms = std::min(next_ms, std::max(buffer.chunks.front().at_ms, context_.now_ms + 1));
  }
  bool have_both_ended = pair.connected && pair.client->ended && pair.server->ended;
  if (have_both_ended && pair.buffers[0].chunks.empty() && pair.buffers[1].chunks.empty() &&
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
  bool has_time_faults = std::any_of(plan_.entries().begin(), plan_.entries().end(), [](const auto& entry) {
    return entry.injection.position == FaultInjection::Position::time;
  });
  set_timer(tick_timer_number, tick_timer_, context_.now_ms + (has_time_faults ? tick_ms : idle_tick_ms));
}

void Relay::tick(Pair& pair) {
  auto steps = pair.injector.tick(context_.now_ms - begin_ms_);
  record_injected(pair);
  if (apply_faults(pair, steps) && !steps.empty()) forward_due(pair);
}

void Relay::on_timer(std::uint64_t number) {
  if (number == tick_timer_number) return tick();
  auto it = pairs_.find(number);
  if (it == pairs_.end()) return;
  auto& pair = *it->second;
  // Forwarded chunks make room in the buffer for bytes that are still in the socket.
  if (forward_due(pair)) read_from_both(pair);
}

void Relay::cleanup() { closed_.clear(); }

}  // namespace meadowgauge::testbed
