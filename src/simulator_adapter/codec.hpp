// Frames of the simulator's wire protocol: a header, records of a fixed size, and one tail that records refer
// to by offset and length. All numbers are little-endian and unaligned. This file checks the sizes of frames;
// wire_messages.hpp interprets the records.
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

// Sizes of headers, records and list entries, in bytes.
inline constexpr std::size_t batch_header_size = 16;
inline constexpr std::size_t reply_header_size = 8;
inline constexpr std::size_t event_size = 48;
inline constexpr std::size_t action_size = 24;
inline constexpr std::size_t endpoint_entry_size = 22;
// The offset of the frame size in the header of a frame.
inline constexpr std::size_t frame_size_offset = 4;
// The largest accepted batch, in bytes.
inline constexpr std::size_t max_batch_size = std::size_t{1} << 28;

// Upper bound of the absolute value of a batch's clock. A batch beyond it is damaged.
inline constexpr double max_clock_ms = 1e15;

// Codes of the records in a batch. Comments give the simulator's name where it differs.
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

// Codes of the records in a reply. Comments give the simulator's name where it differs.
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

// Why a batch is rejected.
enum class FrameFault : std::uint8_t {
  short_header,
  clock_out_of_range,
  batch_size_mismatch,
  record_count_too_large,
  tail_out_of_bounds,
  batch_size_out_of_range,
  truncated_input,
  no_instance_selected,
  unknown_endpoint_list
};

// The text of the error message.
std::string_view describe(FrameFault fault);

// Thrown for a damaged batch. The adapter exits, because it cannot find the start of the next batch.
class FrameError : public std::runtime_error {
 public:
  explicit FrameError(FrameFault fault) : std::runtime_error(std::string(describe(fault))), fault_(fault) {}
  [[nodiscard]] FrameFault fault() const { return fault_; }

 private:
  FrameFault fault_;
};

// Reads a number from an unaligned address.
template <class T>
T load(const char* at) {
  T value;
  std::memcpy(&value, at, sizeof value);
  return value;
}

// A view of the bytes of one record. Fields are read by their offset, which must lie within the record.
struct Record {
  const char* bytes;
  [[nodiscard]] std::uint8_t code() const { return load<std::uint8_t>(bytes); }
  template <class T>
  [[nodiscard]] T get(std::size_t offset) const {
    return load<T>(bytes + offset);
  }
};

// A view of a batch. The constructor checks that records and tail lie within `bytes`, which must outlive the
// view.
class Batch {
 public:
  // Throws FrameError if the batch is damaged.
  explicit Batch(std::span<const char> bytes);
  // The number of records.
  [[nodiscard]] std::size_t size() const { return count_; }
  // The simulator's clock for all records of the batch, in ms.
  [[nodiscard]] double now_ms() const { return now_ms_; }
  [[nodiscard]] Record operator[](std::size_t i) const { return {records_ + i * event_size}; }
  // Returns `length` items of `width` bytes each, from byte `start` of the tail on. Throws FrameError if the
  // range exceeds the tail.
  [[nodiscard]] std::string_view tail(std::uint32_t start, std::uint32_t length, std::size_t width = 1) const;

 private:
  const char* records_ = nullptr;
  std::size_t count_ = 0;
  std::string_view tail_;
  double now_ms_ = 0;
};

// Writes the reply to one batch, action by action. Requests, attempts and upstreams are named by the
// simulator's numbers.
class Reply {
 public:
  // Begins an empty reply. Keeps the selected instance.
  void clear();
  // Selects the instance of the following actions. The record that selects it is written before its first
  // action.
  void select_instance(std::uint16_t instance) { selected_ = instance; }
  // Starts an attempt at `upstream` that may take `max_wait_ms`.
  void forward_request(std::uint64_t request, std::uint32_t upstream, double max_wait_ms);
  // Rejects the request; the client may retry it after `retry_after_ms`.
  void reject_request(std::uint64_t request, double retry_after_ms);
  // Fails the request.
  void drop_request(std::uint64_t request);
  void cancel_attempt(std::uint64_t request, std::uint8_t attempt);
  // Requests a timer event with this `nonce` after `delay_ms`.
  void set_timer(double delay_ms, std::uint32_t nonce);
  // Sends a load probe to `upstream`.
  void probe(std::uint32_t upstream);
  void log_line(std::string_view text);
  // Reports an error of the adapter itself.
  void report_fault(std::string_view text);
  // Sends `bytes` to the instance `peer`, which receives them unchanged in a gossip event.
  void send_gossip(std::uint16_t peer, std::string_view bytes);
  // Subscribes to endpoint updates, or ends the subscription.
  void subscribe(bool active);
  // Requests a single endpoint update.
  void request_endpoints();
  // Finishes the frame. The returned view is valid until the next change of the reply.
  std::string_view frame();

 private:
  // A range of bytes in the tail.
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
  std::optional<std::uint16_t> last_selected_in_reply_;  // the instance that this reply selected last
  std::uint16_t selected_ = 0;
};

}  // namespace meadowgauge::simulator_adapter
