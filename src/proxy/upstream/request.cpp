#include "proxy/upstream/request.hpp"

#include <utility>

#include "protocol/http_writer.hpp"
#include "protocol/names.hpp"

namespace meadowgauge::proxy {

using protocol::Message;

namespace {

// Limit of the bytes of a streamed body in the stream's write queue.
constexpr std::size_t max_queued_bytes = std::size_t{32} * 1024;

}  // namespace

UpstreamRequest UpstreamRequest::from_client(SharedMessage message, double streaming_budget_ms) {
  UpstreamRequest request;
  request.is_body_streamed_ = !message->complete();
  request.is_fully_queued_ = !request.is_body_streamed_;
  request.streaming_budget_ms_ = streaming_budget_ms;
  request.message_ = std::move(message);
  return request;
}

UpstreamRequest UpstreamRequest::health_check(std::string_view path) {
  UpstreamRequest request;
  request.path_ = path;
  return request;
}

std::string_view UpstreamRequest::id() const {
  return message_ ? message_->find(protocol::names::request_id) : std::string_view();
}

bool UpstreamRequest::write_start(transport::Chain& out, std::string_view host, double budget_ms) {
  if (!message_) return protocol::write_get(out, host, path_);
  if (!is_body_streamed_) return protocol::write_request(out, *message_, budget_ms);
  return protocol::write_request_head(out, *message_, streaming_budget_ms_, is_body_chunked_);
}

UpstreamRequest::SendResult UpstreamRequest::send(transport::Stream& stream) {
  bool moved = false;
  while (stream.flush()) {
    if (is_fully_queued_) return stream.flushed() ? SendResult::sent : SendResult::pending;
    if (stream.out().size() >= max_queued_bytes)
      return moved && !message_->complete() ? SendResult::body_drained : SendResult::pending;
    auto result = message_->move_body(stream.out(), is_body_chunked_);
    moved = moved || result == Message::MoveResult::moved;
    bool at_end = result == Message::MoveResult::nothing && message_->complete();
    if (at_end && (!is_body_chunked_ || stream.out().append(protocol::last_chunk))) {
      is_fully_queued_ = true;
    } else if (result == Message::MoveResult::out_of_buffers || message_->complete()) {
      stream.again(EPOLLOUT);
      return SendResult::pending;
    } else if (result == Message::MoveResult::nothing) {
      return moved ? SendResult::body_drained : SendResult::pending;
    }
  }
  return SendResult::broken;
}

}  // namespace meadowgauge::proxy
