// Client connections: accepts them, parses their requests and sends one response to each request. Collects
// events for the loop turn; callers address a connection by its ClientId.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "protocol/http.hpp"
#include "proxy/metrics.hpp"
#include "proxy/request/shared_message.hpp"
#include "transport/due_times.hpp"
#include "transport/listener.hpp"
#include "transport/stream.hpp"

namespace meadowgauge::proxy {

// Identifies a client connection; never reused.
using ClientId = std::uint64_t;

// An event of a client connection, collected for the loop turn.
struct DownstreamEvent {
  enum Kind : std::uint8_t {
    request_received,  // the request is complete, or its body exceeds the buffer or the buffers left
    body_received,     // more bytes, or the end, of a body that exceeds the buffer
    response_taken,    // part of a streamed response was moved to the connection's send queue
    // The response is due although the body is incomplete: reading has paused, and the body's last byte may
    // have lain in the socket for the whole response budget.
    response_due,
    client_gone  // the client left, timed out or sent a malformed body before the final response
  } kind = request_received;
  ClientId client = 0;
  SharedMessage message = {};  // with request_received only
};

// Bounds on open client connections.
struct ConnectionLimits {
  std::size_t max_served = 0;    // connections served at a time
  std::size_t max_overflow = 0;  // further connections, whose requests are read only to be rejected
};

// Owns the listener and all client connections, and sheds connections if descriptors run short.
class DownstreamConnections final : transport::EventHandler {
 public:
  static constexpr std::uint8_t due_kind = 4;  // DueKey kind

  // All parts outlive this object.
  struct Parts {
    transport::Loop& loop;
    transport::Pool& buffers;
    transport::DueTimes& due_times;
    const double& now_ms;  // time of the loop turn
    RequestCounters& counters;
  };
  // Binds, and listens unless `how.later`. Throws std::system_error on failure.
  DownstreamConnections(const Parts& parts, const transport::Address& listen, const ConnectionLimits& limits,
                        transport::Listener::How how);
  ~DownstreamConnections();
  DownstreamConnections(const DownstreamConnections&) = delete;
  DownstreamConnections& operator=(const DownstreamConnections&) = delete;

  // The collected events; the caller clears them.
  [[nodiscard]] std::vector<DownstreamEvent>& events() { return events_; }

  // Sends the response to the client's request in flight. No effect if the client is gone or its request is
  // answered. If the pool has no buffers left, sends the response in parts like a streamed one.
  void send_response(ClientId id, SharedMessage response);
  // Sends a response of the proxy itself. `header_lines`: further header lines, each with its line end.
  void respond(ClientId id, int status, std::string_view header_lines, std::string_view body);
  // Sends a response without a body, and closes the connection after it.
  void respond_and_close(ClientId id, int status);
  // A streamed response: begin_response() sends the head and the received part of the body;
  // continue_response() sends more of the body; abort_response() closes the connection so that the client
  // detects the truncation.
  void begin_response(ClientId id, SharedMessage response);
  void continue_response(ClientId id);
  void abort_response(ClientId id);
  // The buffered part of the request's body has been forwarded: continues to read the body.
  void request_body_forwarded(ClientId id);
  // Whether the client has left before the final response: client_gone is reported.
  [[nodiscard]] bool has_left(ClientId id) const;
  // Sets the time from the last byte of the client's request until the response is due. For requests whose
  // body exceeds the buffer.
  void set_response_budget(ClientId id, double budget_ms);
  // When the last byte of the client's complete body may have arrived at the earliest: the bytes may have
  // lain in the socket while a full buffer kept the balancer from reading.
  [[nodiscard]] double body_arrived_at_ms(ClientId id) const;
  // Sets the class under which the client's request is counted; -1: not counted.
  void set_request_class(ClientId id, int request_class);

  // The connection's due time has been reached.
  void deadline_reached(ClientId id);
  // Accepts again if accepting is blocked for lack of capacity or descriptors. Called periodically.
  void retry_accept();
  // Destroys the connections that were closed in this loop turn.
  void destroy_closed();

  [[nodiscard]] transport::Address address() const { return listener_.address(); }
  void listen() { listener_.listen(); }
  [[nodiscard]] bool listening() const { return listener_.listening(); }
  // See Listener::take_new_connections().
  bool take_new_connections(std::uint32_t nth) { return listener_.take_new_connections(nth); }
  // Accepts the queued connections, then closes the listener.
  void stop_accepting();
  // Closes each connection after its next response. Idle connections stay open, because a request may be on
  // the wire.
  void close_after_responses() { draining_ = true; }
  // Closes each connection after its next response, and idle connections at once.
  void drain();

  // Which connections may be closed to free capacity.
  enum class ShedScope : std::uint8_t {
    idle,             // between requests, or lingering
    partial_request,  // also with an incomplete first request, after its grace
    any               // also within the grace
  };
  // Closes the first connection in the order of ShedClass that `scope` permits. False: there is none.
  bool shed(ShedScope scope);
  // Sets the limits; closes idle connections above them.
  void set_limits(const ConnectionLimits& limits);
  [[nodiscard]] std::size_t size() const { return connections_.size(); }
  [[nodiscard]] std::size_t max_served() const { return limits_.max_served; }

 private:
  struct Connection;
  // The order of shedding; within a class the connection that has been in it longest is shed first.
  enum class ShedClass : std::uint8_t {
    silent,          // no byte since connecting
    lingering,       // the last response is sent
    idle,            // between requests
    partial_request  // the first request is incomplete
  };
  using ShedPosition = std::tuple<ShedClass, double, ClientId>;  // class, since when in ms, id

  // Events of sockets.
  void ready(std::uint32_t events) override;
  void ready(Connection& connection, std::uint32_t events);
  void accept_all();

  // Requests.
  void read_request(Connection& connection);
  bool parse_request(Connection& connection);
  void request_progressed(Connection& connection);
  static bool continue_if_expected(Connection& connection);
  void read_request_body(Connection& connection);
  bool parse_request_body(Connection& connection);
  void set_body_deadline(Connection& connection);
  void pause_request_body(Connection& connection);
  void note_unread_input(Connection& connection) const;
  void body_deadline_reached(Connection& connection);
  void request_body_complete(Connection& connection);
  bool receive(Connection& connection);
  void request_out_of_space(Connection& connection);
  bool feed(Connection& connection);
  void request_received(Connection& connection);

  // Responses.
  Connection* find_unanswered(ClientId id);
  void respond_and_close(Connection& connection, int status);
  void start_sending(Connection& connection, bool written);
  void continue_sending(Connection& connection);
  void forward_response(Connection& connection);
  void watch_client_progress(Connection& connection);
  void check_client_progress(Connection& connection);
  void discard_input(Connection& connection);
  [[nodiscard]] bool is_last_response(const Connection& connection) const;

  // Deadline, shedding and close of a connection.
  void set_deadline(Connection& connection, double ms);
  void clear_deadline(Connection& connection);
  void mark_sheddable(Connection& connection, ShedClass shed_class);
  void unmark_sheddable(Connection& connection);
  void report_client_gone(Connection& connection);
  void count_in_flight(Connection& connection);
  bool end_accounting(Connection& connection);
  void count_outcome(Connection& connection, int status);
  void close(Connection& connection);
  [[nodiscard]] static bool idle(const Connection& connection);

  transport::Loop& loop_;
  transport::Pool& pool_;
  transport::DueTimes& due_;
  const double& now_ms_;
  ConnectionLimits limits_;
  RequestCounters& counters_;
  transport::Listener listener_;
  bool accept_blocked_ = false;  // accepting stopped for lack of capacity or descriptors
  bool draining_ = false;        // each connection closes after its next response
  bool stopping_ = false;        // the listener closes once all queued connections are accepted
  // Stands for the next attempt to accept among the due times; no client has this id.
  static constexpr ClientId accept_retry_id = 0;
  double accept_retry_due_ = transport::DueTimes::none;
  ClientId next_id_ = accept_retry_id + 1;
  std::unordered_map<ClientId, std::unique_ptr<Connection>> connections_;
  std::set<ShedPosition> sheddable_;
  std::vector<std::unique_ptr<Connection>> closed_;  // in this loop turn
  std::vector<DownstreamEvent> events_;
};

}  // namespace meadowgauge::proxy
