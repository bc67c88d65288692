#include "testbed/model/fault_injector.hpp"

#include <algorithm>

#include "protocol/text.hpp"
#include "testbed/model/random.hpp"

namespace meadowgauge::testbed {

using Kind = FaultInjection::Kind;
using Position = FaultInjection::Position;

namespace {
constexpr std::size_t max_header_line_bytes = std::size_t{16} * 1024;
constexpr std::size_t parser_buffers = 32;
}  // namespace

FaultInjector::FaultInjector(InjectionPlan& plan, std::uint64_t connection)
    : plan_(plan), connection_(connection), pool_(std::make_unique<transport::Pool>(parser_buffers)) {
  using Message = protocol::Message;
  track(Direction::to_server).message = std::make_unique<Message>(*pool_, Message::Kind::request);
  track(Direction::to_client).message = std::make_unique<Message>(*pool_, Message::Kind::response);
}

bool FaultInjector::already_injected(const InjectionPlan::Entry& entry) const {
  return std::find(injected_ids_.begin(), injected_ids_.end(), entry.id) != injected_ids_.end();
}

void FaultInjector::inject(InjectionPlan::Entry& entry, std::string& pass, std::vector<Step>& steps) {
  const auto& injection = entry.injection;
  auto& at = track(injection.direction);
  ++entry.times_injected;
  injected_ids_.push_back(entry.id);
  injected_.push_back({connection_, entry.id, injection.direction, at.bytes, at.messages});
  if (injection.kind == Kind::close || injection.kind == Kind::reset || injection.kind == Kind::black_hole)
    ended_ = true;
  if (injection.kind == Kind::corrupt && injection.position != Position::connect)
    at.corrupt_bytes = injection.bytes;
  else
    steps.push_back({std::exchange(pass, {}), injection});
}

bool FaultInjector::matches(const InjectionPlan::Entry& entry, Direction direction, bool at_end,
                            double now_ms) const {
  const auto& injection = entry.injection;
  if (injection.direction != direction || already_injected(entry)) return false;
  if (!plan_.allows(entry, connection_, now_ms)) return false;
  const auto& at = track(direction);
  if (injection.position == Position::byte)
    return !at_end && at.bytes == plan_.byte(entry, connection_) && at.messages >= injection.after_messages;
  return !at.unparsable && matches_message(injection, at, at_end);
}

bool FaultInjector::matches_message(const FaultInjection& injection, const Track& at, bool at_end) {
  if (injection.position == Position::end) return at_end && at.messages == injection.after_messages + 1;
  if (at_end || at.messages != injection.after_messages) return false;
  if (injection.position == Position::header)
    return !at.next_header.empty() && protocol::equals_ignoring_case(at.next_header, injection.name);
  return injection.position == Position::body && at.message->head_complete() &&
         at.message->body_size() == injection.n;
}

// Advances the position in messages by one byte that has passed.
void FaultInjector::follow(Track& track, char c) {
  ++track.bytes;
  if (track.unparsable) return;
  bool in_head = !track.message->head_complete();
  track.message->feed(std::string_view(&c, 1));
  track.next_header = {};
  if (track.message->fault() != protocol::Fault::none) {
    track.unparsable = true;
    return;
  }
  if (in_head && !track.message->head_complete()) follow_header_line(track, c);
  if (track.message->complete()) {
    ++track.messages;
    track.message->reset();
    track.line.clear();
  }
}

void FaultInjector::follow_header_line(Track& track, char c) {
  auto& line = track.line;
  if (c == '\n')
    line.clear();
  else if (line.size() < max_header_line_bytes)
    line += c;
  // The header's value begins after `Name:` and one blank.
  if (c == ' ' && line.size() > 2 && line[line.size() - 2] == ':' && line.find(':') == line.size() - 2)
    track.next_header = std::string_view(line).substr(0, line.size() - 2);
}

std::vector<FaultInjector::Step> FaultInjector::connected(double now_ms) {
  std::vector<Step> steps;
  std::string nothing;
  for (auto& entry : plan_.entries()) {
    if (ended_) break;
    if (entry.injection.position == Position::connect && plan_.allows(entry, connection_, now_ms))
      inject(entry, nothing, steps);
  }
  return steps;
}

std::vector<FaultInjector::Step> FaultInjector::tick(double now_ms) {
  std::vector<Step> steps;
  std::string nothing;
  for (auto& entry : plan_.entries()) {
    if (ended_) break;
    const auto& injection = entry.injection;
    if (injection.position == Position::time && !already_injected(entry) &&
        now_ms >= static_cast<double>(injection.n) && plan_.allows(entry, connection_, now_ms))
      inject(entry, nothing, steps);
  }
  return steps;
}

void FaultInjector::inject_matching(Direction direction, bool at_end, double now_ms, std::string& pass,
                                    std::vector<Step>& steps) {
  for (auto& entry : plan_.entries()) {
    if (ended_) break;
    if (matches(entry, direction, at_end, now_ms)) inject(entry, pass, steps);
  }
}

// Returns the byte to forward. A corrupted byte is always printable and never ends a line, so that the fault
// stays in the header or body that it targets.
char FaultInjector::pass_byte(Track& track, char c) {
  if (track.corrupt_bytes == 0) return c;
  --track.corrupt_bytes;
  auto drawn = mixed(plan_.seed(), "garble", connection_ * 65536 + track.bytes);
  auto corrupted = static_cast<char>(0x21 + drawn % 0x5E);
  if (corrupted != c) return corrupted;
  return c == '~' ? '!' : '~';
}

std::vector<FaultInjector::Step> FaultInjector::feed(Direction direction, std::string_view bytes,
                                                     double now_ms) {
  std::vector<Step> steps;
  std::string pass;
  auto& at = track(direction);
  for (char c : bytes) {
    if (!ended_) inject_matching(direction, false, now_ms, pass, steps);
    if (ended_) return steps;
    auto messages_before = at.messages;
    follow(at, c);
    pass += pass_byte(at, c);
    if (at.messages != messages_before) inject_matching(direction, true, now_ms, pass, steps);
    if (ended_) return steps;
  }
  if (!pass.empty()) steps.push_back({std::move(pass), {}});
  return steps;
}

}  // namespace meadowgauge::testbed
