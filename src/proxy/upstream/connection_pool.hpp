// All connections to endpoints: dials them, keeps those that are idle for the next attempt, and closes what
// is too old, too many or of an earlier process. What goes over them is not its business.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "proxy/endpoint/slots.hpp"
#include "proxy/logger.hpp"
#include "proxy/upstream/connection.hpp"
#include "proxy/upstream/idle_timeout_estimator.hpp"
#include "transport/due_times.hpp"

namespace meadowgauge::proxy {

// Times are in ms.
struct ConnectionPoolSettings {
  double dial_timeout_ms = 1000;
  double idle_timeout_ms = 30000;     // endpoints close idle connections after this
  double settle_ms = 20;              // between a response and the connection's next request
  std::size_t max_connections = 400;  // to all endpoints together
};

// The only owner of the connections: others hold their ids, or a reference within a turn. A connection is
// given back in close() alone, and destroyed at the end of the turn.
class ConnectionPool {
 public:
  static constexpr std::uint8_t due_kind = 2;  // of its due times; their number is the connection's id

  // Where connections live and what they use; all of it outlives the pool.
  struct Parts {
    transport::Loop& loop;
    transport::Pool& buffers;
    transport::DueTimes& due_times;
    const double& now_ms;  // the turn's reading of the clock
    const EndpointSlots& endpoints;
    UpstreamConnectionHandler& handler;
  };
  // `free_descriptor` closes a connection of another kind for the sake of a dial; false: there is none.
  ConnectionPool(const Parts& parts, const ConnectionPoolSettings& settings, Logger log,
                 std::function<bool()> free_descriptor);

  // That index is another server's from now on: nothing is left of the one before.
  void reset_endpoint(EndpointIndex endpoint);

  // A connection that is not closed; null where there is none of that id.
  [[nodiscard]] UpstreamConnection* find(ConnectionId id) const;
  [[nodiscard]] UpstreamConnection& at(ConnectionId id) const { return *connections_.at(id); }
  // Calls f(UpstreamConnection&) for each. `f` must not close any.
  template <class F>
  void each(F&& f) const {
    for (const auto& [id, connection] : connections_) f(*connection);
  }
  [[nodiscard]] std::size_t size() const { return connections_.size(); }
  // Connections to that endpoint, and how many of them are still dialling.
  [[nodiscard]] int open(EndpointIndex endpoint) const { return counters(endpoint).open; }
  [[nodiscard]] int dialling(EndpointIndex endpoint) const { return counters(endpoint).dialling; }

  // Starts a dial, in whose place an idle connection may be closed. False: there is no address, no room or no
  // descriptor, or the system refused at once.
  bool dial(EndpointIndex endpoint);
  // A dial has come up: the connection is idle, and can be used or kept.
  void dial_succeeded(UpstreamConnection& connection);
  // It is of the present process, and the other side has neither ended it nor sent anything.
  [[nodiscard]] bool is_usable(const UpstreamConnection& connection) const;
  // Takes the idle connection used last out of the pool; null where none is young enough to be used.
  UpstreamConnection* take_idle(EndpointIndex endpoint);
  // Keeps an idle connection for the next attempt.
  void keep_idle(UpstreamConnection& connection);
  // Its response has been taken: it settles until it falls due.
  void settle(UpstreamConnection& connection);
  // It has settled: it is idle, and can be used or kept.
  void settled(UpstreamConnection& connection);
  // Bytes, or a connection that came up, are a sign of life.
  void received_from(EndpointIndex endpoint) { counters(endpoint).last_received_ms = now_ms_; }
  // Of no effect on one that is closed.
  void close(UpstreamConnection& connection);
  // The same for an idle one that the other side has ended: how old it was tells of its idle timeout.
  void close_ended_idle(UpstreamConnection& connection);

  // Closes all idle connections to that endpoint.
  void close_idle(EndpointIndex endpoint);
  // The same where nothing has been received from it since then, on any connection.
  void close_idle_if_silent(EndpointIndex endpoint, double since_ms);
  // Closes what is idle for too long to be used again. To be called now and then.
  void close_expired();
  // So many connections from now on; those idle longest make way.
  void set_max_connections(std::size_t most);
  // Closes the connection that can be spared best. False: there is none.
  bool shed();
  // Frees the connections that were closed in this turn.
  void destroy_closed() { closed_.clear(); }

  // Empty where all invariants hold, otherwise what is broken. For tests, between turns.
  [[nodiscard]] std::string broken_invariant() const;

 private:
  struct IdleConnection {
    ConnectionId id = 0;
    double since_ms = 0;
  };
  struct EndpointCounters {
    int dialling = 0;
    int open = 0;                      // those that dial among them
    double last_received_ms = 0;       // the last sign of life
    std::vector<IdleConnection> idle;  // the longest idle first
  };
  [[nodiscard]] EndpointCounters& counters(EndpointIndex endpoint) {
    return by_endpoint_[position_of(endpoint)];
  }
  [[nodiscard]] const EndpointCounters& counters(EndpointIndex endpoint) const {
    return by_endpoint_[position_of(endpoint)];
  }
  void set_due(UpstreamConnection& connection, double at_ms);
  [[nodiscard]] std::string broken_invariant(EndpointIndex endpoint) const;

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
  std::vector<std::unique_ptr<UpstreamConnection>> closed_;  // in this turn
  std::vector<EndpointCounters> by_endpoint_;
  ConnectionId next_id_ = 1;
};

}  // namespace meadowgauge::proxy
