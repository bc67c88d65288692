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
  request.is_health_check_ = true;
  return request;
}

std::string_view UpstreamRequest::id() const {
  return message_ ? message_->find(protocol::names::request_id) : std::string_view();
}

bool UpstreamRequest::write_start(transport::Chain& out, std::string_view host, double budget_ms) {
  if (is_health_check_) return protocol::write_get(out, host, path_);
  if (is_body_streamed_)
    return protocol::write_request_head(out, *message_, streaming_budget_ms_, is_body_chunked_);
  if (protocol::write_request(out, *message_, budget_ms)) return true;
  out.clear();
  is_fully_queued_ = false;
  return protocol::write_request_head(out, *message_, budget_ms, is_body_chunked_);
}

UpstreamRequest::SendResult UpstreamRequest::send(transport::Stream& stream) {
  bool moved = false;
  for (;;) {
    if (!stream.flush()) return SendResult::broken;
    if (is_fully_queued_) return stream.flushed() ? SendResult::sent : SendResult::pending;
    auto result = queue_body(stream.out());
    if (result == Message::MoveResult::nothing) break;
    if (result == Message::MoveResult::out_of_buffers) {
      // Otherwise epoll reports when queued bytes can be sent, which frees space.
      if (stream.flushed()) stream.wait_for_buffer(EPOLLOUT);
      break;
    }
    moved = true;
  }
  return moved && !message_->complete() ? SendResult::body_drained : SendResult::pending;
}

// Queues more of the body, and the last chunk. Returns `nothing` if the queue is full or the rest of the body
// has not been received yet.
Message::MoveResult UpstreamRequest::queue_body(transport::Chain& out) {
  using MoveResult = Message::MoveResult;
  if (out.size() >= max_queued_bytes) return MoveResult::nothing;
  auto result =
      is_body_streamed_ ? message_->move_body(out, is_body_chunked_, max_queued_bytes) : copy_body(out);
  if (result != MoveResult::nothing) return result;
  if (!message_->complete()) return MoveResult::nothing;
  if (is_body_chunked_ && !out.append(protocol::last_chunk)) return MoveResult::out_of_buffers;
  is_fully_queued_ = true;
  return MoveResult::moved;
}

// Queues more of a complete body, which stays in the message for further attempts.
Message::MoveResult UpstreamRequest::copy_body(transport::Chain& out) {
  auto copied = message_->copy_body(out, is_body_chunked_, copied_body_bytes_, max_queued_bytes);
  copied_body_bytes_ += copied;
  if (copied > 0) return Message::MoveResult::moved;
  bool at_end = copied_body_bytes_ == message_->body_size();
  return at_end ? Message::MoveResult::nothing : Message::MoveResult::out_of_buffers;
}

}  // namespace meadowgauge::proxy
