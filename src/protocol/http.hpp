// Incremental parser of HTTP/1.1 messages.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "transport/pool.hpp"

namespace meadowgauge::protocol {

// The number of body bytes that a message buffers at a time.
inline constexpr std::size_t max_buffered_body = std::size_t{64} * 1024;
// The size of the largest accepted streamed body, in bytes.
inline constexpr std::size_t max_streamed_body = std::size_t{33} * 1024 * 1024;
inline constexpr std::size_t max_header_fields = 100;

// A header field. The views point into the head of its message.
struct Field {
  std::string_view name, value;
};

// Why a message is rejected. The value is the HTTP status of the response to such a request.
enum class Fault : std::uint16_t {
  none = 0,
  malformed = 400,
  body_too_large = 413,
  head_too_large = 431,
  out_of_buffers = 503
};

// One HTTP message, parsed incrementally. Buffers of the pool store the head, which fits in the first buffer,
// and then the body without its framing. Names, values and the target are views of the head, valid until
// reset().
class Message {
 public:
  enum class Kind : std::uint8_t { request, response };
  enum class Body : std::uint8_t {
    buffered,  // buffered whole, up to `max_buffered_body`
    endless,   // unlimited; the caller drains the buffer with extract_body()
    streaming  // at most `max_buffered_body` is buffered at a time; move_body() frees space
  };
  enum class MoveResult : std::uint8_t { nothing, moved, out_of_buffers };

  // `pool` must outlive the message.
  Message(transport::Pool& pool, Kind kind, Body body = Body::buffered)
      : kind_(kind),
        body_(body),
        bytes_(pool,
               body == Body::streaming ? transport::BufferUse::shared : transport::BufferUse::essential) {}

  // Consumes the bytes of `in` that belong to this message and returns their number. The number is smaller
  // than in.size() if the message is complete, has a fault, or has a streaming body and no buffer space.
  std::size_t feed(std::string_view in);
  // For a streaming body: how many bytes feed() is sure to consume now, at least. Takes a buffer if needed.
  // 0: see buffer_full() and out_of_buffers().
  [[nodiscard]] std::size_t ensure_space();
  // Prepares for the next message. Releases the buffers and invalidates all views.
  void reset();
  // Must be called before parsing a response to HEAD, which may state a length but has no body.
  void expect_no_body() { no_body_ = true; }
  [[nodiscard]] bool no_body() const { return no_body_; }

  // Whether any byte has been received.
  [[nodiscard]] bool started() const { return state_ != ParseState::start || bytes_.size() > 0; }
  // Whether the whole head has been received, without a fault so far.
  [[nodiscard]] bool head_complete() const { return state_ > ParseState::field && fault_ == Fault::none; }
  // Whether the whole message has been received.
  [[nodiscard]] bool complete() const { return state_ == ParseState::complete; }
  // The first error, or `none`. After a fault, feed() consumes nothing until reset().
  [[nodiscard]] Fault fault() const { return fault_; }

  // A request has a method and a target, a response has a status.
  [[nodiscard]] std::string_view method() const { return method_; }
  [[nodiscard]] std::string_view target() const { return target_; }
  [[nodiscard]] int status() const { return status_; }
  [[nodiscard]] const std::vector<Field>& fields() const { return fields_; }
  // The value of the first field named `name`; empty if there is none.
  [[nodiscard]] std::string_view find(std::string_view name) const;
  // The number of fields named `name`.
  [[nodiscard]] int count(std::string_view name) const;
  // Whether the connection may carry another message after this one.
  [[nodiscard]] bool keep_alive() const;
  [[nodiscard]] bool is_http_1_0() const { return is_http_1_0_; }
  // Whether the field is end-to-end and so forwarded to the next hop (RFC 9110, 7.6.1).
  [[nodiscard]] bool is_forwarded(const Field& field) const;

  // The number of buffered body bytes.
  [[nodiscard]] std::size_t body_size() const { return bytes_.size() - head_size_; }
  // For a streaming body: whether `max_buffered_body` bytes are buffered, or fewer if the pool has no buffer
  // for more. move_body() frees space.
  [[nodiscard]] bool buffer_full() const {
    return body_size() >= max_buffered_body || (out_of_buffers_ && head_complete() && body_size() > 0);
  }
  // For a streaming body: whether the last feed() or ensure_space() found no buffer in the pool. The call can
  // be retried later.
  [[nodiscard]] bool out_of_buffers() const { return out_of_buffers_; }
  // Whether move_body() has removed part of the body, so that the message cannot be sent again.
  [[nodiscard]] bool partly_forwarded() const { return partly_forwarded_; }
  // Whether the Content-Length exceeds `max_buffered_body`.
  [[nodiscard]] bool exceeds_buffer() const { return length_ && *length_ > max_buffered_body; }
  // The Content-Length; absent for chunked and close-delimited bodies.
  [[nodiscard]] std::optional<std::size_t> length() const { return length_; }
  // The number of body bytes received so far, including those that move_body() has removed.
  [[nodiscard]] std::size_t body_received() const { return body_total_; }
  // Whether the body ends when the connection closes (RFC 9112, 6.3).
  [[nodiscard]] bool close_delimited() const { return state_ == ParseState::until_close; }
  // To be called when the peer closes the connection in an orderly way. Completes a close-delimited response.
  void connection_closed();
  // Moves the buffered part of the body to `out`, in chunks if `chunked`, until `out` holds
  // `max_queued_bytes` or the pool has no buffer. `out_of_buffers`: the pool had no buffer for the first
  // byte.
  MoveResult move_body(transport::Chain& out, bool chunked, std::size_t max_queued_bytes = std::string::npos);
  // Copies the buffered body from `offset` on to `out`, with the same limits as move_body(). Returns the
  // number of bytes.
  std::size_t copy_body(transport::Chain& out, bool chunked, std::size_t offset,
                        std::size_t max_queued_bytes) const;
  // Calls f(std::string_view) for each contiguous segment of the buffered body.
  template <class F>
  void for_each_body_segment(F&& f) const {
    bytes_.each(head_size_, f);
  }
  // Removes and returns the buffered body.
  std::string extract_body();

 private:
  enum class ParseState : std::uint8_t {
    start,
    field,
    body,
    chunk_size,
    chunk,
    chunk_end,
    trailer,
    until_close,
    complete
  };

  std::size_t copy_piece(transport::Chain& out, bool chunked, std::size_t offset) const;
  bool feed_body(std::string_view& in);
  bool feed_head_line(std::string_view& in);
  bool feed_framing_line(std::string_view& in);
  void parse_line(std::string_view text);
  bool parse_start_line(std::string_view text);
  bool parse_request_line(std::string_view text);
  bool parse_status_line(std::string_view text);
  bool parse_field_line(std::string_view text);
  void determine_framing();
  void set_content_length(std::string_view digits);
  void parse_chunk_size(std::string_view text);
  void fail(Fault f) { fault_ = f; }
  [[nodiscard]] std::size_t max_body() const {
    return body_ == Body::buffered    ? max_buffered_body
           : body_ == Body::streaming ? max_streamed_body
                                      : std::string_view::npos;
  }
  [[nodiscard]] bool header_lists(std::string_view name, std::string_view token) const;

  Kind kind_;
  Body body_;
  transport::Chain bytes_;
  ParseState state_ = ParseState::start;
  Fault fault_ = Fault::none;
  std::size_t line_start_ = 0;  // offset of the current line in the head
  std::string framing_;         // incomplete line of chunk framing or of the trailer
  std::size_t remaining_ = 0;   // bytes missing from the body or the chunk
  std::size_t head_size_ = 0, trailer_size_ = 0;
  std::vector<Field> fields_;
  std::string_view method_, target_;
  int status_ = 0;
  bool is_http_1_0_ = false;
  bool empty_line_skipped_ = false;  // an empty line before the request line
  bool no_body_ = false;
  bool out_of_buffers_ = false;
  bool partly_forwarded_ = false;
  std::size_t body_total_ = 0;         // body bytes received so far
  std::optional<std::size_t> length_;  // the Content-Length
};

}  // namespace meadowgauge::protocol
