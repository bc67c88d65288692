#include "testbed/model/fault_injector.hpp"

#include <algorithm>

#include "protocol/text.hpp"
#include "testbed/model/random.hpp"

namespace meadowgauge::testbed {

using Kind = FaultInjection::Kind;
using Position = FaultInjection::Position;

namespace {
constexpr std::size_t max_header_line_bytes = std::size_t{16} * 1024;
constexpr std::size_t parser_buffers = 32;  // in the buffer pool of a connection's two HTTP parsers
}  // namespace

FaultInjector::FaultInjector(InjectionPlan& plan, std::uint64_t connection)
    : plan_(plan), connection_(connection), pool_(std::make_unique<transport::Pool>(parser_buffers)) {
  using Message = protocol::Message;
  stream_state(Direction::to_server).message = std::make_unique<Message>(*pool_, Message::Kind::request);
  stream_state(Direction::to_client).message = std::make_unique<Message>(*pool_, Message::Kind::response);
}

bool FaultInjector::already_injected(const InjectionPlan::Entry& entry) const {
  return std::find(injected_ids_.begin(), injected_ids_.end(), entry.id) != injected_ids_.end();
}

void FaultInjector::inject(InjectionPlan::Entry& entry, std::string& pass, std::vector<Step>& steps) {
  const auto& injection = entry.injection;
  auto& state = stream_state(injection.direction);
  ++entry.times_injected;
  injected_ids_.push_back(entry.id);
  injected_.push_back({connection_, entry.id, injection.direction, state.bytes, state.messages});
  if (injection.kind == Kind::close || injection.kind == Kind::reset || injection.kind == Kind::black_hole)
    is_ended_ = true;
  if (injection.kind == Kind::corrupt && injection.position != Position::connect)
    state.bytes_to_corrupt = injection.bytes;
  else
    steps.push_back({std::exchange(pass, {}), injection});
}

bool FaultInjector::matches(const InjectionPlan::Entry& entry, Direction direction, bool at_end,
                            double now_ms) const {
  const auto& injection = entry.injection;
  if (injection.direction != direction || already_injected(entry)) return false;
  if (!plan_.allows(entry, connection_, now_ms)) return false;
  const auto& state = stream_state(direction);
  if (injection.position == Position::byte)
    return !at_end && state.bytes == plan_.byte(entry, connection_) &&
           state.messages >= injection.after_messages;
  return !state.is_unparsable && matches_message_position(injection, state, at_end);
}

bool FaultInjector::matches_message_position(const FaultInjection& injection, const StreamState& state,
                                             bool at_end) {
  if (injection.position == Position::end) return at_end && state.messages == injection.after_messages + 1;
  if (at_end || state.messages != injection.after_messages) return false;
  if (injection.position == Position::header)
    return !state.next_header.empty() && protocol::equals_ignoring_case(state.next_header, injection.name);
  return injection.position == Position::body && state.message->head_complete() &&
         state.message->body_size() == injection.n;
}

// Updates the state of a direction with its next byte.
void FaultInjector::advance(StreamState& stream_state, char c) {
  ++stream_state.bytes;
  if (stream_state.is_unparsable) return;
  bool in_head = !stream_state.message->head_complete();
  stream_state.message->feed(std::string_view(&c, 1));
  stream_state.next_header = {};
  if (stream_state.message->fault() != protocol::Fault::none) {
    stream_state.is_unparsable = true;
    return;
  }
  if (in_head && !stream_state.message->head_complete()) advance_header_line(stream_state, c);
  if (stream_state.message->complete()) {
    ++stream_state.messages;
    stream_state.message->reset();
    stream_state.header_line.clear();
  }
}

void FaultInjector::advance_header_line(StreamState& stream_state, char c) {
  auto& header_line = stream_state.header_line;
  if (c == '\n')
    header_line.clear();
  else if (header_line.size() < max_header_line_bytes)
    header_line += c;
  // The header's value begins after `Name:` and one space.
  if (c == ' ' && header_line.size() > 2 && header_line[header_line.size() - 2] == ':' &&
      header_line.find(':') == header_line.size() - 2)
    stream_state.next_header = std::string_view(header_line).substr(0, header_line.size() - 2);
}

std::vector<FaultInjector::Step> FaultInjector::connected(double now_ms) {
  std::vector<Step> steps;
  std::string no_bytes;
  for (auto& entry : plan_.entries()) {
    if (is_ended_) break;
    if (entry.injection.position == Position::connect && plan_.allows(entry, connection_, now_ms))
      inject(entry, no_bytes, steps);
  }
  return steps;
}

std::vector<FaultInjector::Step> FaultInjector::tick(double now_ms) {
  std::vector<Step> steps;
  std::string no_bytes;
  for (auto& entry : plan_.entries()) {
    if (is_ended_) break;
    const auto& injection = entry.injection;
    if (injection.position == Position::time && !already_injected(entry) &&
        now_ms >= static_cast<double>(injection.n) && plan_.allows(entry, connection_, now_ms))
      inject(entry, no_bytes, steps);
  }
  return steps;
}

void FaultInjector::inject_matching(Direction direction, bool at_end, double now_ms, std::string& pass,
                                    std::vector<Step>& steps) {
  for (auto& entry : plan_.entries()) {
    if (is_ended_) break;
    if (matches(entry, direction, at_end, now_ms)) inject(entry, pass, steps);
  }
}

// Returns the byte to forward for `c`. A corrupted byte is printable and never a line end, so that the
// corruption stays in its header or body. The last line makes sure that the corrupted byte differs from `c`.
char FaultInjector::byte_to_forward(StreamState& stream_state, char c) {
  if (stream_state.bytes_to_corrupt == 0) return c;
  --stream_state.bytes_to_corrupt;
  auto drawn = derive_seed(plan_.seed(), "garble", connection_ * 65536 + stream_state.bytes);
  auto corrupted = static_cast<char>(0x21 + drawn % 0x5E);
  if (corrupted != c) return corrupted;
  return c == '~' ? '!' : '~';
}

std::vector<FaultInjector::Step> FaultInjector::feed(Direction direction, std::string_view bytes,
                                                     double now_ms) {
  std::vector<Step> steps;
  std::string pass;
  auto& state = stream_state(direction);
  for (char c : bytes) {
    if (!is_ended_) inject_matching(direction, false, now_ms, pass, steps);
    if (is_ended_) return steps;
    auto completed_before = state.messages;
    advance(state, c);
    pass += byte_to_forward(state, c);
    if (state.messages != completed_before) inject_matching(direction, true, now_ms, pass, steps);
    if (is_ended_) return steps;
  }
  if (!pass.empty()) steps.push_back({std::move(pass), {}});
  return steps;
}

}  // namespace meadowgauge::testbed
