// The frames of the simulator's wire: a header, fixed-size records, and one tail that records point into by
// offset and length. All numbers are little-endian and unaligned. Frames are checked here; what records mean
// is in wire_messages.hpp.
#pragma once

#include <bit>
#include <cstdint>
#include <cstring>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace meadowgauge::simulator_adapter {

static_assert(std::endian::native == std::endian::little);

// Sizes in bytes.
inline constexpr std::size_t batch_header_size = 16;
inline constexpr std::size_t reply_header_size = 8;
inline constexpr std::size_t event_size = 48;
inline constexpr std::size_t action_size = 24;
inline constexpr std::size_t endpoint_entry_size = 22;
// The offset of a frame's size in its header.
inline constexpr std::size_t frame_size_offset = 4;
inline constexpr std::size_t max_batch_size = std::size_t{1} << 28;

// A frame with a clock beyond this, positive or negative, is damaged.
inline constexpr double max_clock_ms = 1e15;

// Codes of the records in a batch. Comments: the wire's name where it differs.
enum class EventCode : std::uint8_t {
  request_arrived = 1,  // Knock
  attempt_started,      // Begun
  endpoint_list,        // Census
  timer,                // Alarm
  select_instance,      // Context
  probe_done,
  start_instance,   // Enlist
  endpoint_update,  // Registry
  attempt_ended,    // ReportBack
  client_gone,
  gossip,        // FromPeer
  stop_instance  // Kill
};

// Codes of the records in a reply.
enum class ActionCode : std::uint8_t {
  forward_request = 65,  // Forward
  reject_request,        // Bounce
  drop_request,
  cancel_attempt,     // Cancel
  set_timer,          // SetAlarm
  probe,              // AskLoad
  let_go,             // not used
  send_gossip,        // GossipTo
  log_line,           // JournalLine
  report_fault,       // Broken
  subscribe,          // KeepInformed
  request_endpoints,  // Lookup
  select_instance     // By
};

// Why a frame is rejected.
enum class FrameFault : std::uint8_t {
  short_header,
  impossible_clock,
  length_mismatch,
  record_count,
  tail_bounds,
  impossible_length,
  truncated_input,
  no_instance_selected,
  unknown_endpoint_list
};

// The text for the log.
std::string_view describe(FrameFault fault);

// A damaged frame. The adapter cannot find the start of the next frame, so it exits.
class FrameError : public std::runtime_error {
 public:
  explicit FrameError(FrameFault fault) : std::runtime_error(std::string(describe(fault))), fault_(fault) {}
  [[nodiscard]] FrameFault fault() const { return fault_; }

 private:
  FrameFault fault_;
};

// Reads a number at an unaligned address.
template <class T>
T load(const char* at) {
  T value;
  std::memcpy(&value, at, sizeof value);
  return value;
}

// A view of one record's bytes; fields are read by their offset, which must lie within the record.
struct Record {
  const char* bytes;
  [[nodiscard]] std::uint8_t code() const { return load<std::uint8_t>(bytes); }
  template <class T>
  [[nodiscard]] T get(std::size_t offset) const {
    return load<T>(bytes + offset);
  }
};

// A view of a batch whose sizes were checked: records and tail lie within `bytes`, which outlive it.
class Batch {
 public:
  // Throws FrameError.
  explicit Batch(std::span<const char> bytes);
  // The count of records.
  [[nodiscard]] std::size_t size() const { return count_; }
  // The simulator's clock for all records of the batch, in milliseconds.
  [[nodiscard]] double now_ms() const { return now_ms_; }
  [[nodiscard]] Record operator[](std::size_t i) const { return {records_ + i * event_size}; }
  // `length` items of `width` bytes from byte `start` of the tail. Throws FrameError if they exceed it.
  [[nodiscard]] std::string_view tail(std::uint32_t start, std::uint32_t length, std::size_t width = 1) const;

 private:
  const char* records_ = nullptr;
  std::size_t count_ = 0;
  std::string_view tail_;
  double now_ms_ = 0;
};

// The reply to one batch, written action by action.
class Reply {
 public:
  // Begins an empty reply. The selected instance stays selected.
  void clear();
  // The following actions belong to this instance; its record is written only before the first of them.
  void select_instance(std::uint16_t instance) { selected_ = instance; }
  void forward_request(std::uint64_t request, std::uint32_t upstream, double max_wait_ms);
  // The client may retry after `retry_after_ms`.
  void reject_request(std::uint64_t request, double retry_after_ms);
  // The request has failed.
  void drop_request(std::uint64_t request);
  void cancel_attempt(std::uint64_t request, std::uint8_t attempt);
  // A timer event with this `nonce` after `delay_ms`.
  void set_timer(double delay_ms, std::uint32_t nonce);
  void probe(std::uint32_t upstream);
  void log_line(std::string_view text);
  // An error of the adapter itself.
  void report_fault(std::string_view text);
  // The other instance receives `bytes` unchanged in its gossip event.
  void send_gossip(std::uint16_t peer, std::string_view bytes);
  // Turns unsolicited endpoint updates on or off.
  void subscribe(bool active);
  // Requests a single endpoint update.
  void request_endpoints();
  // The finished frame; valid until the next change.
  std::string_view frame();

 private:
  // A text's range in the tail.
  struct TailSpan {
    std::uint32_t start;
    std::uint32_t length;
  };
  template <class... Fields>
  void append(ActionCode code, Fields... fields);
  template <class... Fields>
  void append_record(ActionCode code, Fields... fields);
  TailSpan append_tail(std::string_view bytes);

  std::string body_;
  std::string tail_;
  std::uint32_t count_ = 0;
  std::optional<std::uint16_t> written_;  // the instance last written into this reply
  std::uint16_t selected_ = 0;
};

}  // namespace meadowgauge::simulator_adapter
