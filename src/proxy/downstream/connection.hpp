// The state of one client's connection. For the sources of DownstreamConnections alone.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

#include "proxy/downstream/connections.hpp"

namespace meadowgauge::proxy {

// How many times a socket is read before others have their turn.
inline constexpr int reads_per_turn = 8;
// From connecting, or from a later request's first byte, until the request is complete. Clients are near: one
// that takes longer is silent, or sends byte by byte, and holds a descriptor that others wait for.
inline constexpr double request_timeout_ms = 2500;
// A response that is not taken for this long ends the connection.
inline constexpr double send_stall_ms = 10000;

struct DownstreamConnections::Connection final : transport::Ready {
  enum class State : std::uint8_t {
    reading,     // a request, or idle before one
    in_flight,   // a request without a response
    responding,  // a response is being sent
    lingering,   // the last response is out; what the client still sends is dropped
    closed
  };

  Connection(DownstreamConnections& owner, ClientId id, transport::Fd fd)
      : owner(owner), id(id), stream(owner.loop_, owner.pool_, std::move(fd), *this) {}
  void ready(std::uint32_t events) override { owner.ready(*this, events); }

  DownstreamConnections& owner;
  ClientId id;
  transport::Stream stream;
  State state = State::reading;
  // The client has ended the connection, or its sending on it: the system may report that only once.
  bool peer_closed = false;
  bool gone = false;                          // client_gone was reported
  bool has_sent_request = false;              // a complete one
  double due_ms = transport::DueTimes::none;  // of the deadline
  std::optional<ShedPosition> shed_position;  // where it may be shed

  // The request that is read or in flight.
  SharedMessage request;
  bool keep_alive = true, head_only = false;
  bool http_1_0 = false;
  bool continue_sent = false;  // 100 Continue
  bool body_incoming = false;  // while the request is in flight
  bool body_event_pending =
      false;                   // body_received was reported, and request_body_forwarded() has not followed
  double body_due_base = 0;    // when its body is due, before what its bytes are worth
  std::size_t body_bytes = 0;  // as many as have come
  double paused_at_ms = 0;  // not read since then, as what is held of its body has to go first; 0: not paused
  int request_class = -1;
  bool counted = false;            // in the figures
  bool counted_in_flight = false;  // and that has come whole

  // Its response.
  SharedMessage response;  // one that streams
  bool chunked = false, response_ended = false;
  int status = 0;
  std::size_t discarded_bytes = 0;  // while lingering
};

}  // namespace meadowgauge::proxy
