// Runs attempts at endpoints: each waits for a connection, sends its request and reads the response. Collects
// the events of attempts for the loop turn. All times are in ms of the loop turn's clock.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "policy/types.hpp"
#include "proxy/endpoint/slots.hpp"
#include "proxy/logger.hpp"
#include "proxy/request/shared_message.hpp"
#include "proxy/upstream/attempt.hpp"
#include "proxy/upstream/broken_invariant.hpp"
#include "proxy/upstream/connection.hpp"
#include "proxy/upstream/connection_pool.hpp"
#include "transport/due_times.hpp"

namespace meadowgauge::proxy {

// Owns the attempts, the connections and the endpoints' addresses. Throws only std::bad_alloc: a failed
// attempt completes with an Outcome.
class Upstreams final : UpstreamConnectionHandler {
 public:
  // DueKey kinds.
  static constexpr std::uint8_t attempt_due_kind = 1;
  static constexpr std::uint8_t connection_due_kind = ConnectionPool::due_kind;

  // All parts outlive this object.
  struct Parts {
    transport::Loop& loop;
    transport::Pool& buffers;
    transport::DueTimes& due_times;
    const double& now_ms;  // time of the loop turn
    // Reads the same clock at the time of the call. Empty: the time of the loop turn is used.
    std::function<double()> read_clock_ms = {};
  };
  // `free_descriptor`: closes a downstream connection so that a dial gets its descriptor; false if none can
  // be closed.
  Upstreams(const Parts& parts, const ConnectionPoolSettings& settings, Logger log,
            std::function<bool()> free_descriptor);
  ~Upstreams() = default;
  Upstreams(const Upstreams&) = delete;
  Upstreams& operator=(const Upstreams&) = delete;

  // The endpoints by index, with their names and addresses.
  [[nodiscard]] const EndpointSlots& endpoints() const { return endpoints_; }
  // The index of the named endpoint; assigns an index to a new name. The index stays valid until
  // reclaim_indices() frees it.
  EndpointIndex index_of(const std::string& name);
  // Updates an endpoint from the endpoint list. An empty `address` keeps the known address; `started_at_ms`
  // identifies the incarnation; `active`: accepts new attempts. With another incarnation or address closes
  // idle connections, and ends the attempts that wait for a connection as never sent.
  void update_address(EndpointIndex endpoint, const std::string& address, double started_at_ms, bool active);
  // Starts or ends an operator's drain, which overrides the endpoint list.
  void set_manual_drain(EndpointIndex endpoint, bool drained);
  // Removes an endpoint that has left the endpoint list.
  void remove(EndpointIndex endpoint);
  // Frees the indices of removed endpoints that have no connections or waiting attempts and for which
  // `in_use` returns false.
  void reclaim_indices(const std::function<bool(EndpointIndex endpoint)>& in_use);

  // Starts an attempt; shares `request` until the attempt is over. An incomplete request is sent with a
  // streamed body.
  void start(AttemptId id, EndpointIndex endpoint, SharedMessage request, const AttemptLimits& limits);
  // Starts a health check, unless `id` is still in flight.
  void start_health_check(AttemptId id, EndpointIndex endpoint, std::string_view path, double limit_ms);
  // The functions below have no effect on an attempt that is over.
  // Forwards more of the request's body after it is received.
  void continue_request(AttemptId id);
  // Sets the time limit, counted from now, once the request's body is complete.
  void set_limit(AttemptId id, double limit_ms);
  // Requires that the request's last byte is written within `send_by_ms` from now, else the attempt ends as
  // never sent. No effect on a sent request or if an earlier deadline is set.
  void limit_sending(AttemptId id, double send_by_ms);
  // Ends an attempt because its response is due: as never sent if its last byte is not written, otherwise as
  // timed out. False: the attempt is over.
  bool expire(AttemptId id);
  // Continues to read the response after the client has received its buffered part.
  void resume_response(AttemptId id);
  // Sets the deadline of a streamed response that fits in the buffer.
  void set_response_due(AttemptId id, double at_ms);
  // Starts to stream responses of unknown length that have been buffered for `max_held_ms`. To be called
  // periodically.
  void stream_held_responses();
  // Ends an attempt without an event, and closes its connection. False: the attempt is over and has its own
  // `completed` event.
  bool cancel(AttemptId id);
  // Ends an unsent attempt with Outcome::superseded; no effect on a sent attempt. Called when the request has
  // its final response or the client has disconnected.
  void abandon_unsent(AttemptId id);

  // Sends the requests of attempts whose connections were established or became writable in this loop turn.
  // To be called after the turn's endpoint lists, due times and client events are applied, because these may
  // end attempts that must not be sent.
  void send_requests();

  // Handles a due time of one of the kinds above.
  void deadline_reached(transport::DueKey key);
  // Closes connections that have been idle for too long to be reused. To be called periodically.
  void close_expired_connections() { connections_.close_expired(); }
  // Sets the limit; closes the oldest idle connections above it.
  void set_max_connections(std::size_t max_connections) { connections_.set_max_connections(max_connections); }
  // Destroys the connections that were closed in this loop turn.
  void destroy_closed() { connections_.destroy_closed(); }

  // Collected events; the caller clears them.
  [[nodiscard]] std::vector<AttemptEvent>& events() { return events_; }
  // Number of attempts since the start whose request was sent to its last byte, without health checks.
  [[nodiscard]] std::uint64_t requests_sent() const { return requests_sent_; }

  // The first broken invariant; absent if all hold. For tests, between loop turns.
  [[nodiscard]] std::optional<BrokenUpstreamInvariant> broken_invariant() const;

 private:
  using Attempts = std::unordered_map<AttemptId, UpstreamAttempt>;
  using AttemptEntry = Attempts::iterator;  // never of an attempt that is over

  // Start and end of attempts.
  void begin(AttemptId id, UpstreamAttempt attempt);
  void set_due(AttemptEntry entry, double at_ms);
  void complete(AttemptEntry entry, Outcome outcome, SharedMessage response = {});
  void release_connection(AttemptEntry entry);
  void attempt_due(AttemptId id);

  // Connections, and the queue of attempts for them.
  void connection_ready(UpstreamConnection& connection, std::uint32_t events) override;
  void dial_finished(UpstreamConnection& connection);
  void process_sendable(UpstreamConnection& connection);
  void connection_due(ConnectionId id);
  void connection_available(UpstreamConnection& connection);
  void dial_for_waiting(EndpointIndex endpoint);
  void fail_next_waiting(EndpointIndex endpoint);
  void stop_attempts(EndpointIndex endpoint);
  // Whether the attempt's request may be written at the time of the call.
  [[nodiscard]] bool may_send(const UpstreamAttempt& attempt) const;
  [[nodiscard]] std::deque<AttemptId>& waiting_attempts(EndpointIndex endpoint) {
    return waiting_attempts_[position_of(endpoint)];
  }

  // Requests and responses (exchange.cpp).
  void send_request(UpstreamConnection& connection, AttemptEntry entry);
  bool send_pending(UpstreamConnection& connection, AttemptEntry entry);
  void read_response(UpstreamConnection& connection, AttemptEntry entry);
  bool parse_received(UpstreamConnection& connection, AttemptEntry entry);
  std::size_t space_for_response(UpstreamConnection& connection, AttemptEntry entry);
  void response_head_received(UpstreamConnection& connection, AttemptEntry entry);
  void stream_response(UpstreamConnection& connection, AttemptEntry entry);
  void response_progressed(UpstreamConnection& connection, AttemptEntry entry);
  void response_invalid(UpstreamConnection& connection, AttemptEntry entry);
  void response_complete(UpstreamConnection& connection, AttemptEntry entry);
  void connection_broken(UpstreamConnection& connection, AttemptEntry entry);

  // Log lines.
  void log_invalid_address(EndpointIndex endpoint, const std::string& address) const;
  void log_request_sent(AttemptId id, const UpstreamAttempt& attempt) const;
  void log_connection_broken(const UpstreamConnection& connection, const UpstreamAttempt& attempt) const;

  transport::DueTimes& due_times_;
  const double& now_ms_;
  std::function<double()> read_clock_ms_;
  double dial_timeout_ms_;
  Logger log_;
  EndpointSlots endpoints_;
  ConnectionPool connections_;
  std::vector<std::deque<AttemptId>> waiting_attempts_;  // for a connection, by endpoint; oldest first
  // Connections that are dialled, settled or writable since the last send_requests().
  std::vector<ConnectionId> sendable_;
  Attempts attempts_;
  std::vector<AttemptEvent> events_;
  std::uint64_t requests_sent_ = 0;
};

}  // namespace meadowgauge::proxy
