#include "simulator_adapter/codec.hpp"

#include <cmath>

namespace meadowgauge::simulator_adapter {

namespace {

// Both kinds of frame start with the number of records and the frame size, in 4 bytes each. In a batch, the
// clock follows.
constexpr std::size_t clock_offset = 8;

template <class T>
void store(char* at, T value) {
  std::memcpy(at, &value, sizeof value);
}

}  // namespace

std::string_view describe(FrameFault fault) {
  switch (fault) {
    case FrameFault::short_header:
      return "batch shorter than its header";
    case FrameFault::clock_out_of_range:
      return "clock out of range";
    case FrameFault::batch_size_mismatch:
      return "batch size differs from the size in its header";
    case FrameFault::record_count_too_large:
      return "record count exceeds the batch size";
    case FrameFault::tail_out_of_bounds:
      return "tail range out of bounds";
    case FrameFault::batch_size_out_of_range:
      return "batch size out of range";
    case FrameFault::truncated_input:
      return "input ended within a batch";
    case FrameFault::no_instance_selected:
      return "Enlist before any Context";
    case FrameFault::unknown_endpoint_list:
      return "Registry names a list that was not sent";
  }
  return "unknown frame error";
}

Batch::Batch(std::span<const char> bytes) {
  if (bytes.size() < batch_header_size) throw FrameError(FrameFault::short_header);
  count_ = load<std::uint32_t>(bytes.data());
  now_ms_ = load<double>(bytes.data() + clock_offset);
  // The negated comparison rejects NaN too.
  if (!(std::abs(now_ms_) < max_clock_ms)) throw FrameError(FrameFault::clock_out_of_range);
  if (load<std::uint32_t>(bytes.data() + frame_size_offset) != bytes.size())
    throw FrameError(FrameFault::batch_size_mismatch);
  // Divides, because the product of the sender's count and the record size may overflow.
  if (count_ > (bytes.size() - batch_header_size) / event_size)
    throw FrameError(FrameFault::record_count_too_large);
  records_ = bytes.data() + batch_header_size;
  const auto tail_start = batch_header_size + count_ * event_size;
  tail_ = {bytes.data() + tail_start, bytes.size() - tail_start};
}

std::string_view Batch::tail(std::uint32_t start, std::uint32_t length, std::size_t width) const {
  if (start > tail_.size() || length > (tail_.size() - start) / width)
    throw FrameError(FrameFault::tail_out_of_bounds);
  return tail_.substr(start, length * width);
}

void Reply::clear() {
  body_.assign(reply_header_size, '\0');
  tail_.clear();
  count_ = 0;
  last_selected_in_reply_.reset();
}

// Appends one record: its code, then the fields without gaps, then zeros.
template <class... Fields>
void Reply::append_record(ActionCode code, Fields... fields) {
  static_assert(sizeof code + (std::size_t{0} + ... + sizeof fields) <= action_size);
  const auto start = body_.size();
  body_.resize(start + action_size, '\0');
  ++count_;
  auto* at = body_.data() + start;
  store(at, code);
  at += sizeof code;
  (..., (store(at, fields), at += sizeof fields));
}

// Appends an action of the selected instance.
template <class... Fields>
void Reply::append(ActionCode code, Fields... fields) {
  if (last_selected_in_reply_ != selected_) {
    append_record(ActionCode::select_instance, selected_);
    last_selected_in_reply_ = selected_;
  }
  append_record(code, fields...);
}

Reply::TailSpan Reply::append_tail(std::string_view bytes) {
  const TailSpan span{.start = static_cast<std::uint32_t>(tail_.size()),
                      .length = static_cast<std::uint32_t>(bytes.size())};
  tail_ += bytes;
  return span;
}

void Reply::forward_request(std::uint64_t request, std::uint32_t upstream, double max_wait_ms) {
  append(ActionCode::forward_request, request, upstream, max_wait_ms);
}

void Reply::reject_request(std::uint64_t request, double retry_after_ms) {
  append(ActionCode::reject_request, request, retry_after_ms);
}

void Reply::drop_request(std::uint64_t request) { append(ActionCode::drop_request, request); }

void Reply::cancel_attempt(std::uint64_t request, std::uint8_t attempt) {
  append(ActionCode::cancel_attempt, request, attempt);
}

void Reply::set_timer(double delay_ms, std::uint32_t nonce) {
  append(ActionCode::set_timer, delay_ms, nonce);
}

void Reply::probe(std::uint32_t upstream) { append(ActionCode::probe, upstream); }

void Reply::log_line(std::string_view text) { append(ActionCode::log_line, append_tail(text)); }

void Reply::report_fault(std::string_view text) { append(ActionCode::report_fault, append_tail(text)); }

void Reply::send_gossip(std::uint16_t peer, std::string_view bytes) {
  append(ActionCode::send_gossip, peer, append_tail(bytes));
}

void Reply::subscribe(bool active) {
  append(ActionCode::subscribe, static_cast<std::uint8_t>(active ? 1 : 0));
}

void Reply::request_endpoints() { append(ActionCode::request_endpoints); }

std::string_view Reply::frame() {
  store(body_.data(), count_);
  body_ += tail_;
  store(body_.data() + frame_size_offset, static_cast<std::uint32_t>(body_.size()));
  return body_;
}

}  // namespace meadowgauge::simulator_adapter
