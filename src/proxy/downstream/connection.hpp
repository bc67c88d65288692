// The state of one client connection. Included only by the source files of DownstreamConnections.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

#include "proxy/downstream/connections.hpp"

namespace meadowgauge::proxy {

// Limit of reads from one connection per loop turn, so that other connections get their turn.
inline constexpr int reads_per_turn = 8;
// Time from connecting, or from a later request's first byte, until the request is complete. Clients are
// near, so a slower client is silent or sends byte by byte, and would hold a descriptor that others need.
inline constexpr double request_timeout_ms = 2500;

// One client connection. Owned by DownstreamConnections, which contains all the logic.
struct DownstreamConnections::Connection final : transport::EventHandler {
  enum class State : std::uint8_t {
    reading,     // receiving a request, or idle between requests
    in_flight,   // the request is unanswered
    responding,  // sending the response
    lingering,   // the last response is sent; further input is discarded
    closed
  };

  // How the request is included in RequestCounters.
  enum class Accounting : std::uint8_t {
    none,           // no request, or it is not counted
    awaiting_body,  // its outcome will be counted; counted as in flight from its last byte on
    in_flight       // counted as in flight
  };

  Connection(DownstreamConnections& owner, ClientId id, transport::Fd fd)
      : owner(owner), id(id), stream(owner.loop_, owner.pool_, std::move(fd), *this) {}
  void ready(std::uint32_t events) override { owner.ready(*this, events); }

  DownstreamConnections& owner;
  ClientId id;
  transport::Stream stream;
  State state = State::reading;
  // The client has closed the connection, or its sending side. epoll may report that only once.
  bool peer_closed = false;
  bool gone_reported = false;                 // client_gone has been reported
  bool has_sent_request = false;              // a complete request has been received
  double due_ms = transport::DueTimes::none;  // time of the deadline
  std::optional<ShedPosition> shed_position;  // absent while the connection can't be shed

  // The request that is being received or is in flight.
  SharedMessage request;
  bool keep_alive = true;
  bool head_only = false;  // HEAD: the response has no body
  bool http_1_0 = false;
  bool continue_sent = false;  // 100 Continue has been sent
  bool body_incoming = false;  // the request is in flight, and its body is incomplete
  // body_received has been reported, and request_body_forwarded() has not been called since.
  bool body_event_pending = false;
  // Deadline of the body without the extension by received bytes, in ms; 0: no body.
  double body_due_base_ms = 0;
  std::size_t body_bytes = 0;  // received
  // The time when reading paused because the buffer was full; 0: not paused.
  double paused_at_ms = 0;
  // Since when unread bytes of the body may lie in the socket; 0: the last read found the socket empty.
  double unread_since_ms = 0;
  // Since when the last byte of the complete body may have lain in the socket.
  double body_arrived_at_ms = 0;
  // Time from the last byte of a request with a large body until its response is due.
  double response_budget_ms = transport::DueTimes::none;
  int request_class = -1;
  Accounting accounting = Accounting::none;

  // The response.
  SharedMessage response;       // a streamed response; null otherwise
  bool chunked = false;         // framing of the streamed response
  bool response_ended = false;  // the streamed response is queued to its last byte
  int status = 0;
  // The bytes that the client's system had taken at the last check, and when it last took some or all.
  std::uint64_t acknowledged_bytes = 0;
  double acknowledged_at_ms = 0;
  std::size_t discarded_bytes = 0;  // while lingering
};

}  // namespace meadowgauge::proxy
