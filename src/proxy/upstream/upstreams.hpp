// Attempts at endpoints: each waits for a connection, sends its request on it, and reads the response. What
// happens to them is gathered as events of a turn. All times are in ms of the turn's clock.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "policy/types.hpp"
#include "proxy/endpoint/slots.hpp"
#include "proxy/logger.hpp"
#include "proxy/request/shared_message.hpp"
#include "proxy/upstream/attempt.hpp"
#include "proxy/upstream/connection.hpp"
#include "proxy/upstream/connection_pool.hpp"
#include "transport/due_times.hpp"

namespace meadowgauge::proxy {

// Owns the attempts, the connections and what is known of the endpoints' addresses. Nothing here throws but
// for want of memory: an attempt that fails has an event that says how.
class Upstreams final : UpstreamConnectionHandler {
 public:
  // Kinds of its due times.
  static constexpr std::uint8_t attempt_due_kind = 1;
  static constexpr std::uint8_t connection_due_kind = ConnectionPool::due_kind;

  // `loop`, `buffers`, `due_times` and `now_ms` (the turn's reading of the clock) outlive it.
  // `free_descriptor` closes a connection of another kind for the sake of a dial; false: there is none.
  Upstreams(transport::Loop& loop, transport::Pool& buffers, transport::DueTimes& due_times,
            const double& now_ms, const ConnectionPoolSettings& settings, Logger log,
            std::function<bool()> free_descriptor);
  ~Upstreams() = default;
  Upstreams(const Upstreams&) = delete;
  Upstreams& operator=(const Upstreams&) = delete;

  // Which server has which index, and what is known of it.
  [[nodiscard]] const EndpointSlots& endpoints() const { return endpoints_; }
  // The index of the server of that name, a new one where it has none. It stays its own for as long as it is
  // listed or anything of it is left.
  EndpointIndex index_of(const std::string& name);
  // The server is listed there, with an incarnation that started then; an empty address: where it was.
  // `active`: new attempts may go there. Connections of another process or address are not used again.
  void update_address(EndpointIndex endpoint, const std::string& address, double started_at_ms, bool active);
  // By an operator's hand no new attempts go there whatever is listed, or may again.
  void set_manual_drain(EndpointIndex endpoint, bool drained);
  // The server is listed no more.
  void remove(EndpointIndex endpoint);
  // Takes back the indices of servers that were removed and have nothing left here nor, by `in_use`,
  // elsewhere.
  void reclaim_indices(const std::function<bool(EndpointIndex endpoint)>& in_use);

  // Starts an attempt; shares `request` until it is over. The body of a request that is not complete is
  // passed on as it comes.
  void start(AttemptId id, EndpointIndex endpoint, SharedMessage request, const AttemptLimits& limits);
  // Starts a health check, unless one of that id is still out.
  void start_health_check(AttemptId id, EndpointIndex endpoint, std::string_view path, double limit_ms);
  // The functions from here on do nothing for an attempt that is over.
  // More of the request's body is there.
  void continue_request(AttemptId id);
  // The request's body is complete: the attempt may take so long from now on.
  void set_limit(AttemptId id, double limit_ms);
  // What was held of the response has been passed on: there is room for more.
  void resume_response(AttemptId id);
  // A response that streams is to be complete by then, unless it is larger than what is held at a time.
  void set_response_due(AttemptId id, double at_ms);
  // Lets responses of unknown length stream that have been held for long. To be called now and then.
  void stream_held_responses();
  // Ends an attempt without an event, and its connection with it. False: it is over, and its one `completed`
  // is on its way or was taken.
  bool cancel(AttemptId id);
  // Its request has its final response, or its client has gone: what is not sent yet ends as superseded; what
  // is sent goes on.
  void abandon_unsent(AttemptId id);

  // A due time of its kinds has come.
  void deadline_reached(transport::DueKey key);
  // Closes connections that are idle for too long to be used again. To be called now and then.
  void close_expired_connections() { connections_.close_expired(); }
  // So many connections from now on; those idle longest make way.
  void set_max_connections(std::size_t most) { connections_.set_max_connections(most); }
  // Frees the connections that were closed in this turn.
  void destroy_closed() { connections_.destroy_closed(); }

  // What has happened since the caller last emptied this.
  [[nodiscard]] std::vector<AttemptEvent>& events() { return events_; }
  // Clients' requests that were sent to their last byte, since the start.
  [[nodiscard]] std::uint64_t requests_sent() const { return requests_sent_; }

  // Empty where all invariants hold, otherwise what is broken. For tests, between turns.
  [[nodiscard]] std::string broken_invariant() const;

 private:
  using Attempts = std::unordered_map<AttemptId, UpstreamAttempt>;
  using AttemptEntry = Attempts::iterator;  // an attempt that is not over

  // An attempt's life.
  void begin(AttemptId id, UpstreamAttempt attempt);
  void set_due(AttemptEntry entry, double at_ms);
  void complete(AttemptEntry entry, Outcome outcome, SharedMessage response = {});
  void release_connection(AttemptEntry entry);
  void attempt_due(AttemptId id);

  // Connections and the attempts that wait for one.
  void connection_ready(UpstreamConnection& connection, std::uint32_t events) override;
  void dial_finished(UpstreamConnection& connection);
  void connection_due(ConnectionId id);
  void connection_available(UpstreamConnection& connection);
  void dial_for_waiting(EndpointIndex endpoint);
  void fail_next_waiting(EndpointIndex endpoint);
  void stop_attempts(EndpointIndex endpoint);
  [[nodiscard]] std::deque<AttemptId>& waiting(EndpointIndex endpoint) {
    return waiting_[position_of(endpoint)];
  }

  // Requests and responses (upstream_exchange.cpp).
  void send_request(UpstreamConnection& connection, AttemptEntry entry);
  bool send_pending(UpstreamConnection& connection, AttemptEntry entry);
  void read_response(UpstreamConnection& connection, AttemptEntry entry);
  bool take_received(UpstreamConnection& connection, AttemptEntry entry);
  void response_head_received(UpstreamConnection& connection, AttemptEntry entry);
  void stream_response(UpstreamConnection& connection, AttemptEntry entry);
  void response_progressed(UpstreamConnection& connection, AttemptEntry entry);
  void response_invalid(UpstreamConnection& connection, AttemptEntry entry);
  void response_complete(UpstreamConnection& connection, AttemptEntry entry);
  void connection_broken(UpstreamConnection& connection, AttemptEntry entry);

  transport::DueTimes& due_times_;
  const double& now_ms_;
  double dial_timeout_ms_;
  Logger log_;
  EndpointSlots endpoints_;
  ConnectionPool connections_;
  std::vector<std::deque<AttemptId>> waiting_;  // for a connection, by endpoint; the longest first
  Attempts attempts_;
  std::vector<AttemptEvent> events_;
  std::uint64_t requests_sent_ = 0;
};

}  // namespace meadowgauge::proxy
