// The pool of connections to endpoints: dials, keeps idle connections for reuse, and closes connections that
// are too old, too many or of an earlier incarnation of their endpoint. Does not read from or write to
// connections.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "proxy/endpoint/slots.hpp"
#include "proxy/logger.hpp"
#include "proxy/upstream/broken_invariant.hpp"
#include "proxy/upstream/connection.hpp"
#include "proxy/upstream/idle_timeout_estimator.hpp"
#include "transport/due_times.hpp"

namespace meadowgauge::proxy {

// Limits of the pool. Times are in ms.
struct ConnectionPoolSettings {
  double dial_timeout_ms = 1000;
  double idle_timeout_ms = 30000;     // idle time after which endpoints close connections
  double settle_ms = 20;              // minimum time between a response and the connection's next request
  std::size_t max_connections = 400;  // to all endpoints together
};

// Owns the connections: callers keep ids, or a reference within a loop turn. close() removes a connection;
// destroy_closed() destroys it at the end of the turn.
class ConnectionPool {
 public:
  static constexpr std::uint8_t due_kind = 2;  // DueKey kind; the number is the ConnectionId

  // All parts outlive the pool.
  struct Parts {
    transport::Loop& loop;
    transport::Pool& buffers;
    transport::DueTimes& due_times;
    const double& now_ms;  // time of the loop turn
    const EndpointSlots& endpoints;
    UpstreamConnectionHandler& handler;
  };
  // `free_descriptor`: closes a downstream connection so that a dial gets its descriptor; false if none can
  // be closed.
  ConnectionPool(const Parts& parts, const ConnectionPoolSettings& settings, Logger log,
                 std::function<bool()> free_descriptor);

  // Clears the state of a reused index. The index's former endpoint must have no connections left.
  void reset_endpoint(EndpointIndex endpoint);

  // The open connection with that id; null if there is none.
  [[nodiscard]] UpstreamConnection* find(ConnectionId id) const;
  [[nodiscard]] UpstreamConnection& at(ConnectionId id) const { return *connections_.at(id); }
  // Calls f(UpstreamConnection&) for each connection. `f` must not close connections.
  template <class F>
  void for_each(F&& f) const {
    for (const auto& [id, connection] : connections_) f(*connection);
  }
  [[nodiscard]] std::size_t size() const { return connections_.size(); }
  // The number of the endpoint's connections, and of those that are dialling.
  [[nodiscard]] int open(EndpointIndex endpoint) const { return counters(endpoint).open; }
  [[nodiscard]] int dialling(EndpointIndex endpoint) const { return counters(endpoint).dialling; }

  // Starts a dial; evicts a connection if the limit is reached. False: no address, no capacity, no
  // descriptor, or connect() failed at once.
  bool dial(EndpointIndex endpoint);
  // From dialling to idle. The caller uses the connection or returns it with keep_idle().
  void dial_succeeded(UpstreamConnection& connection);
  // Whether the connection leads to the present incarnation of its endpoint, is still open, and has received
  // no unexpected bytes.
  [[nodiscard]] bool is_usable(const UpstreamConnection& connection) const;
  // Takes the most recently used idle connection out of the pool; null if none may be reused.
  UpstreamConnection* take_idle(EndpointIndex endpoint);
  // Keeps an idle connection for the next attempt.
  void keep_idle(UpstreamConnection& connection);
  // From in_flight to settling, for `settle_ms`.
  void settle(UpstreamConnection& connection);
  // From settling to idle. The caller uses the connection or returns it with keep_idle().
  void finish_settling(UpstreamConnection& connection);
  // Records that the endpoint has sent bytes or accepted a dial.
  void record_activity(EndpointIndex endpoint) { counters(endpoint).last_activity_ms = now_ms_; }
  // Closes a connection and removes it from the pool; no effect on a closed connection.
  void close(UpstreamConnection& connection);
  // Closes an idle connection that the endpoint has closed; IdleTimeoutEstimator records its idle time.
  void close_ended_idle(UpstreamConnection& connection);

  // Closes all idle connections of the endpoint.
  void close_idle(EndpointIndex endpoint);
  // Closes all idle connections of the endpoint if it has sent no bytes on any connection, and accepted no
  // dial, after `since_ms`.
  void close_idle_if_silent(EndpointIndex endpoint, double since_ms);
  // Closes connections that have been idle for too long to be reused. To be called periodically.
  void close_expired();
  // Sets the limit; closes the oldest idle connections above it.
  void set_max_connections(std::size_t max_connections);
  // Closes the connection that has been idle longest, or else a settling one. False if there is neither.
  bool evict_one();
  // Destroys the connections that were closed in this loop turn.
  void destroy_closed() { closed_.clear(); }

  // The first broken invariant; absent if all hold. For tests, between loop turns.
  [[nodiscard]] std::optional<BrokenUpstreamInvariant> broken_invariant() const;

 private:
  struct IdleConnection {
    ConnectionId id = 0;
    double since_ms = 0;
  };
  struct EndpointCounters {
    int dialling = 0;
    int open = 0;                      // includes dialling
    double last_activity_ms = 0;       // when the endpoint last sent bytes or accepted a dial
    std::vector<IdleConnection> idle;  // oldest first
  };
  [[nodiscard]] EndpointCounters& counters(EndpointIndex endpoint) {
    return endpoint_counters_[position_of(endpoint)];
  }
  [[nodiscard]] const EndpointCounters& counters(EndpointIndex endpoint) const {
    return endpoint_counters_[position_of(endpoint)];
  }
  void set_due(UpstreamConnection& connection, double at_ms);
  // `error`: an errno value.
  void log_dial_failed(EndpointIndex endpoint, int error) const;
  [[nodiscard]] std::optional<BrokenUpstreamInvariant> broken_invariant(EndpointIndex endpoint) const;

  transport::Loop& loop_;
  transport::Pool& buffers_;
  transport::DueTimes& due_times_;
  const double& now_ms_;
  const EndpointSlots& endpoints_;
  UpstreamConnectionHandler& handler_;
  ConnectionPoolSettings settings_;
  Logger log_;
  std::function<bool()> free_descriptor_;
  IdleTimeoutEstimator idle_timeout_;
  std::unordered_map<ConnectionId, std::unique_ptr<UpstreamConnection>> connections_;
  std::vector<std::unique_ptr<UpstreamConnection>> closed_;  // in this loop turn
  std::vector<EndpointCounters> endpoint_counters_;
  ConnectionId next_id_ = 1;
};

}  // namespace meadowgauge::proxy
