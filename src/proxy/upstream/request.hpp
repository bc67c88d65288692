// The request that an attempt sends: a client's request, either complete or with a streamed body, or a health
// check.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "proxy/request/shared_message.hpp"
#include "transport/stream.hpp"

namespace meadowgauge::proxy {

// Shares the client's message with the downstream connection. Each object is sent at most once.
class UpstreamRequest {
 public:
  // `streaming_budget_ms`: the time budget in the request's header if the body is still incoming.
  static UpstreamRequest from_client(SharedMessage message, double streaming_budget_ms);
  // A GET of `path`.
  static UpstreamRequest health_check(std::string_view path);

  [[nodiscard]] bool is_health_check() const { return is_health_check_; }
  // The request id that the client has set; empty for a health check. Valid until release_message().
  [[nodiscard]] std::string_view id() const;
  // Whether the body is forwarded as it is received.
  [[nodiscard]] bool streams_body() const { return is_body_streamed_; }

  // Appends the head, and the body of a complete request if the pool has buffers for it, to `out`.
  // `budget_ms`: the time budget in the header of a complete request. `host`: the Host header of a health
  // check. False: the pool has no free buffers, and `out` must not be sent.
  [[nodiscard]] bool write_start(transport::Chain& out, std::string_view host, double budget_ms);

  enum class SendResult : std::uint8_t {
    pending,       // waiting for the socket, a buffer, or more of the body
    body_drained,  // the buffered part of a streamed body is forwarded; more can be received
    sent,          // the last byte is written
    broken         // the connection broke
  };
  // Writes the queued bytes and the received part of a streamed body. Called again when the stream is
  // writable, or when more of the body is received.
  SendResult send(transport::Stream& stream);
  // Releases the client's message, and with it its buffers, after the last byte is written.
  void release_message() { message_.reset(); }

 private:
  UpstreamRequest() = default;

  protocol::Message::MoveResult queue_body(transport::Chain& out);
  protocol::Message::MoveResult copy_body(transport::Chain& out);

  SharedMessage message_;  // null for a health check
  bool is_health_check_ = false;
  std::string path_;  // of a health check
  double streaming_budget_ms_ = 0;
  bool is_body_streamed_ = false;      // the body was incomplete at the start
  std::size_t copied_body_bytes_ = 0;  // of a complete body that did not fit in the write queue at the start
  bool is_body_chunked_ = false;       // the streamed body is sent in chunks
  bool is_fully_queued_ = true;        // the whole request is in the stream's write queue, or sent
};

}  // namespace meadowgauge::proxy
