// Upstreams: sending an attempt's request and reading its response.
#include <sys/epoll.h>

#include <cmath>
#include <string>
#include <utility>

#include "protocol/names.hpp"
#include "proxy/upstream/upstreams.hpp"

namespace meadowgauge::proxy {

using protocol::Message;
using transport::DueTimes;
using transport::Stream;
using State = UpstreamConnection::State;

namespace {

// Bounds the reads from one connection per loop turn, so that other connections are served as well.
constexpr int max_reads_per_turn = 8;
// A response of unknown length starts to stream after this time, even if the buffer is not full.
constexpr double max_held_ms = 200;

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;

bool is_informational(const Message& response) {
  return response.complete() && response.status() < status_ok;
}

// Whether the response is malformed, or exceeds the buffer and may not stream.
bool is_invalid(const Message& response, const UpstreamAttempt& attempt) {
  if (response.fault() != protocol::Fault::none) return true;
  bool may_stream = response.status() == status_ok && !attempt.is_health_check() && attempt.is_sent();
  return response.buffer_full() && !response.complete() && !may_stream;
}

ResponseSize size_of(const Message& response) {
  if (!response.length()) return ResponseSize::unknown;
  return response.exceeds_buffer() ? ResponseSize::exceeds_buffer : ResponseSize::fits_buffer;
}

Outcome outcome_of(const Message& response) {
  if (response.status() == status_ok) return Outcome::succeeded;
  bool may_be_rejected = response.status() == status_unavailable || response.status() == status_timeout;
  bool rejected = may_be_rejected && response.find(protocol::names::not_executed) == "1";
  return rejected ? Outcome::rejected : Outcome::error;
}

std::string rounded_ms(double ms) { return std::to_string(std::lround(ms)) + " ms"; }

}  // namespace

// --- The request -----------------------------------------------------------------------------------------

void Upstreams::send_request(UpstreamConnection& connection, AttemptEntry entry) {
  auto& [id, attempt] = *entry;
  connection.begin_attempt(id, now_ms_);
  attempt.connected(connection.id());
  set_due(entry, attempt.timeout_at_ms());
  const auto& address = endpoints_.dial_address(attempt.endpoint());
  const auto& host = address ? address->text() : endpoints_.name(attempt.endpoint());
  auto& out = connection.stream().out();
  if (!attempt.request().write_start(out, host, attempt.limit_at_ms() - now_ms_)) {
    out.clear();  // no byte is sent yet
    connections_.close(connection);
    return complete(entry, Outcome::unreachable);
  }
  if (!send_pending(connection, entry)) connection_broken(connection, entry);
}

// False: the connection broke, or the rest of the request may no longer be sent.
bool Upstreams::send_pending(UpstreamConnection& connection, AttemptEntry entry) {
  using SendResult = UpstreamRequest::SendResult;
  auto& [id, attempt] = *entry;
  if (!attempt.is_sent() && !may_send(attempt)) return false;
  auto result = attempt.request().send(connection.stream());
  if (result == SendResult::body_drained)
    events_.push_back(
        {.kind = AttemptEvent::Kind::request_body_drained, .attempt = id, .endpoint = attempt.endpoint()});
  if (result == SendResult::sent && !attempt.is_sent()) {
    attempt.request_sent();
    set_due(entry, attempt.timeout_at_ms());
    if (!attempt.is_health_check()) {
      ++requests_sent_;
      log_request_sent(id, attempt);
    }
    attempt.request().release_message();
  }
  return result != SendResult::broken;
}

// Logged because the endpoint may have executed the request once its last byte is written.
void Upstreams::log_request_sent(AttemptId id, const UpstreamAttempt& attempt) const {
  if (!log_.wants(Level::debug)) return;
  auto request_id = attempt.request().id();
  const auto& name = endpoints_.name(attempt.endpoint());
  double after_ms = now_ms_ - attempt.started_at_ms();
  log_(Level::debug,
       std::string("request ").append(request_id) + ": attempt " + std::to_string(attempt_number_of(id)) +
           " sent to " + name + " to the last byte, " + rounded_ms(after_ms) + " after its start",
       {{"request_id", request_id},
        {"attempt", static_cast<double>(attempt_number_of(id))},
        {"endpoint", name},
        {"after_ms", after_ms}});
}

void Upstreams::continue_request(AttemptId id) {
  auto entry = attempts_.find(id);
  if (entry == attempts_.end()) return;
  auto& attempt = entry->second;
  if (attempt.awaits_connection() || !attempt.request().streams_body()) return;
  auto& connection = connections_.at(attempt.connection());
  if (!send_pending(connection, entry)) connection_broken(connection, entry);
}

// --- The response ----------------------------------------------------------------------------------------

void Upstreams::read_response(UpstreamConnection& connection, AttemptEntry entry) {
  for (int i = 0; i < max_reads_per_turn; ++i) {
    if (!parse_received(connection, entry)) return;
    auto space = space_for_response(connection, entry);
    if (space == 0) return;
    auto got = connection.stream().fill(space);
    if (got == Stream::ReadResult::nothing) return;
    if (got == Stream::ReadResult::end && connection.response().close_delimited()) {
      connection.response().connection_closed();
      return response_complete(connection, entry);
    }
    if (got != Stream::ReadResult::bytes) return connection_broken(connection, entry);
    connections_.record_activity(connection.endpoint());
  }
  if (parse_received(connection, entry)) connection.stream().again(EPOLLIN);
}

// Parses the received bytes of the response. False: the attempt is over, or the buffer is full.
bool Upstreams::parse_received(UpstreamConnection& connection, AttemptEntry entry) {
  auto& attempt = entry->second;
  if (attempt.phase() == UpstreamAttempt::Phase::response_paused) return false;
  auto& stream = connection.stream();
  auto& response = connection.response();
  bool received = false;
  while (!stream.bytes().empty()) {
    auto taken = response.feed(stream.bytes());
    received = received || taken > 0;
    attempt.response_received(taken);
    stream.consume(taken);
    if (is_invalid(response, attempt)) {
      response_invalid(connection, entry);
      return false;
    }
    if (is_informational(response)) {
      response.reset();
      continue;
    }
    if (response.complete()) {
      response_complete(connection, entry);
      return false;
    }
    response_head_received(connection, entry);
    if (response.buffer_full()) {
      if (!attempt.streams_response()) stream_response(connection, entry);
      attempt.pause_response();
      break;
    }
    if (response.out_of_buffers()) {
      stream.wait_for_buffer(EPOLLIN);
      break;
    }
  }
  if (attempt.streams_response() && received) response_progressed(connection, entry);
  return attempt.phase() != UpstreamAttempt::Phase::response_paused && !response.out_of_buffers();
}

// How many bytes may be read. 0: the attempt is over, or reading goes on when the client has taken part of
// the response or when the pool has a buffer. A response that can't be buffered further is streamed.
std::size_t Upstreams::space_for_response(UpstreamConnection& connection, AttemptEntry entry) {
  auto& attempt = entry->second;
  auto& response = connection.response();
  auto space = response.ensure_space();
  if (space > 0) return space;
  if (!response.buffer_full()) {
    connection.stream().wait_for_buffer(EPOLLIN);
  } else if (is_invalid(response, attempt)) {
    response_invalid(connection, entry);
  } else {
    if (!attempt.streams_response()) stream_response(connection, entry);
    attempt.pause_response();
    set_due(entry, DueTimes::none);
  }
  return 0;
}

// Streams a response whose head announces a body that exceeds the buffer. stream_held_responses() streams
// responses of unknown length later.
void Upstreams::response_head_received(UpstreamConnection& connection, AttemptEntry entry) {
  const auto& attempt = entry->second;
  const auto& response = connection.response();
  if (!response.head_complete() || response.status() != status_ok) return;
  if (attempt.is_health_check() || attempt.streams_response()) return;
  if (!response.length() && connection.response_head_at_ms() == 0)
    connection.set_response_head_at_ms(now_ms_);
  if (response.exceeds_buffer() && attempt.is_sent()) stream_response(connection, entry);
}

void Upstreams::stream_held_responses() {
  connections_.for_each([this](UpstreamConnection& connection) {
    if (connection.state() != State::in_flight || connection.response_head_at_ms() <= 0) return;
    if (now_ms_ - connection.response_head_at_ms() < max_held_ms) return;
    if (connection.response().body_size() == 0) return;
    auto entry = attempts_.find(connection.attempt());
    if (entry->second.is_sent()) stream_response(connection, entry);
  });
}

// Starts to forward the response: the buffered part now, the rest as it is received.
void Upstreams::stream_response(UpstreamConnection& connection, AttemptEntry entry) {
  auto& [id, attempt] = *entry;
  attempt.stream_response(now_ms_);
  connection.set_response_head_at_ms(0);
  set_due(entry, attempt.stall_timeout_at_ms(now_ms_, size_of(connection.response())));
  events_.push_back({.kind = AttemptEvent::Kind::response_started,
                     .attempt = id,
                     .endpoint = attempt.endpoint(),
                     .response = connection.shared_response(),
                     .started_at_ms = attempt.started_at_ms()});
}

void Upstreams::response_progressed(UpstreamConnection& connection, AttemptEntry entry) {
  auto& [id, attempt] = *entry;
  set_due(entry, attempt.stall_timeout_at_ms(now_ms_, size_of(connection.response())));
  events_.push_back(
      {.kind = AttemptEvent::Kind::response_progress, .attempt = id, .endpoint = attempt.endpoint()});
}

void Upstreams::resume_response(AttemptId id) {
  auto entry = attempts_.find(id);
  if (entry == attempts_.end()) return;
  auto& attempt = entry->second;
  if (attempt.phase() != UpstreamAttempt::Phase::response_paused) return;
  attempt.resume_response();
  auto& connection = connections_.at(attempt.connection());
  set_due(entry, attempt.stall_timeout_at_ms(now_ms_, size_of(connection.response())));
  read_response(connection, entry);
}

void Upstreams::set_response_due(AttemptId id, double at_ms) {
  auto entry = attempts_.find(id);
  if (entry == attempts_.end() || !entry->second.streams_response()) return;
  auto& attempt = entry->second;
  attempt.set_response_due_at_ms(at_ms);
  auto& connection = connections_.at(attempt.connection());
  set_due(entry, attempt.stall_timeout_at_ms(now_ms_, size_of(connection.response())));
}

// --- End of the response ---------------------------------------------------------------------------------

// The outcome depends on whether the request was sent: only then may the endpoint have executed it.
void Upstreams::response_invalid(UpstreamConnection& connection, AttemptEntry entry) {
  bool sent = entry->second.is_sent();
  connections_.close(connection);
  complete(entry, sent ? Outcome::error : Outcome::unreachable);
}

void Upstreams::response_complete(UpstreamConnection& connection, AttemptEntry entry) {
  auto response = connection.take_response();
  // Endpoints execute complete requests only, so a response before the request's last byte is not its
  // response.
  if (!entry->second.is_sent()) {
    connections_.close(connection);
    return complete(entry, Outcome::unreachable);
  }
  auto outcome = outcome_of(*response);
  // Surplus bytes after the response make the message framing uncertain, so the connection is not reused.
  if (response->keep_alive() && connection.stream().bytes().empty() && connection.stream().quiet()) {
    connections_.settle(connection);
  } else {
    connections_.close(connection);
    dial_for_waiting(connection.endpoint());
  }
  complete(entry, outcome, std::move(response));
}

void Upstreams::log_connection_broken(const UpstreamConnection& connection,
                                      const UpstreamAttempt& attempt) const {
  const auto& name = endpoints_.name(connection.endpoint());
  double idle_ms = connection.idle_before_attempt_ms();
  double duration_ms = now_ms_ - attempt.started_at_ms();
  log_(Level::debug,
       std::string("endpoint ").append(name) + " connection broke during an attempt: idle before " +
           rounded_ms(idle_ms) + ", attempt duration " + rounded_ms(duration_ms),
       {{"endpoint", name}, {"idle_ms", idle_ms}, {"duration_ms", duration_ms}});
}

void Upstreams::connection_broken(UpstreamConnection& connection, AttemptEntry entry) {
  const auto& attempt = entry->second;
  bool sent = attempt.is_sent();
  log_connection_broken(connection, attempt);
  connections_.close(connection);
  // The endpoint can have executed the request only if its last byte was written.
  complete(entry, sent ? Outcome::reset : Outcome::unreachable);
}

}  // namespace meadowgauge::proxy
