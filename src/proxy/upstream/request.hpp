// What an attempt sends: a client's request, held complete or passed on as its body comes, or a health check.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "proxy/request/shared_message.hpp"
#include "transport/stream.hpp"

namespace meadowgauge::proxy {

// Shares the client's message with whoever takes its bytes in. To be sent once.
class UpstreamRequest {
 public:
  // `streaming_budget_ms`: the time budget that the endpoint is told where the body is still coming.
  static UpstreamRequest of_client(SharedMessage message, double streaming_budget_ms);
  // A GET of `path`.
  static UpstreamRequest health_check(std::string_view path);

  [[nodiscard]] bool is_health_check() const { return !message_; }
  // Its body is passed on as it comes.
  [[nodiscard]] bool streams_body() const { return streams_; }

  // Appends the head, and the body where that is held complete; the endpoint is told `budget_ms` then. `host`
  // is for a health check. False: the pool has no buffers, and `out` must not be sent.
  [[nodiscard]] bool write_start(transport::Chain& out, std::string_view host, double budget_ms);

  enum class SendResult : std::uint8_t {
    pending,  // the socket or the pool takes no more now, or more of the body has to come first
    drained,  // all that was held of a streaming body has been passed on: there is room for more
    sent,     // the last byte is written
    broken    // the connection broke
  };
  // Writes what is queued, and what there is behind it of a body that streams. To be called again when the
  // stream is writable, or when more of the body is there.
  SendResult send(transport::Stream& stream);

 private:
  UpstreamRequest() = default;

  SharedMessage message_;  // none: a health check
  std::string path_;       // of a health check
  double streaming_budget_ms_ = 0;
  bool streams_ = false;  // its body comes while it is sent
  bool chunked_ = false;  // the framing of that body
  bool queued_ = true;    // nothing is to be written behind what stands in the stream's queue
};

}  // namespace meadowgauge::proxy
