// Connections from clients: parsed requests in, one response to each out. What happens on them is gathered as
// events of a turn; what is done on them is asked for by the client's id.
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

// One connection of a client; never given out twice.
using ClientId = std::uint64_t;

struct DownstreamEvent {
  enum Kind : std::uint8_t {
    request_received,  // one that is complete, or whose body is too large to be held
    body_received,     // more of that body is there, or all of it
    response_taken,    // some of the response that streams to it has been taken
    client_gone        // a client with an unanswered request has gone
  } kind = request_received;
  ClientId client = 0;
  SharedMessage message = {};  // with request_received alone
};

class DownstreamConnections final : transport::Ready {
 public:
  static constexpr std::uint8_t due_kind = 4;  // of its due times

  // Listens from here on, unless `how` says later. Throws std::system_error where it can't. `loop`, `pool`,
  // `due`, `now` (the turn's reading of the clock, in ms) and `tally` outlive it. `most_served` connections
  // are meant to be served at a time; `most_beyond` more are read, so that what comes on them can be
  // rejected.
  DownstreamConnections(transport::Loop& loop, transport::Pool& pool, transport::DueTimes& due,
                        const transport::Address& listen, const double& now_ms, std::size_t most_served,
                        std::size_t most_beyond, RequestCounters& counters, transport::Listener::How how);
  ~DownstreamConnections();
  DownstreamConnections(const DownstreamConnections&) = delete;
  DownstreamConnections& operator=(const DownstreamConnections&) = delete;

  // What has happened since the caller last emptied this.
  [[nodiscard]] std::vector<DownstreamEvent>& events() { return events_; }

  // Responses to the request in flight of that client; of no effect where it is gone or has its response.
  // Out of buffers, a response becomes a bare 500 and the connection's last.
  void send_response(ClientId id, const protocol::Message& response);
  // One of the proxy's own; `extra` holds whole header lines.
  void respond(ClientId id, int status, std::string_view extra, std::string_view body);
  // The same for a message that can't be served: its connection ends with the response.
  void respond_and_close(ClientId id, int status);
  // A response whose body streams: begin_response() sends its head and what there is of the body;
  // continue_response() sends what has come since; abort_response() breaks the connection off, so that the
  // client sees that the response is truncated.
  void begin_response(ClientId id, SharedMessage response);
  void continue_response(ClientId id);
  void abort_response(ClientId id);
  // What was held of the request's body has been forwarded: more of it can be read.
  void request_body_forwarded(ClientId id);
  // The request in flight of that client is of this class; below 0: of none that is counted.
  void set_request_class(ClientId id, int request_class);

  // A due time of `due_kind` has come.
  void deadline_reached(ClientId id);
  // Accepts again where descriptors had run out. To be called now and then.
  void retry_accept();
  // Frees the connections that were closed in this turn.
  void destroy_closed();

  [[nodiscard]] transport::Address address() const { return listener_.address(); }
  void listen() { listener_.listen(); }
  [[nodiscard]] bool listening() const { return listener_.listening(); }
  // New connections come here rather than to the `nth` that listen beside it. False: the system does not
  // allow it.
  bool take_new_connections(std::uint32_t nth) { return listener_.take_new_connections(nth); }
  // Connections that wait to be accepted are still accepted.
  void stop_accepting();
  // From now on each response is a connection's last; idle ones stay open for what may be on its way.
  void close_after_responses() { draining_ = true; }
  // From now on each response is a connection's last, and idle ones are closed.
  void drain();

  // Which connections may be closed to make room.
  enum class ShedScope : std::uint8_t {
    idle,             // those between requests, or past their last response
    partial_request,  // also one with its first request begun
    any               // also one that has only just connected
  };
  // Closes the connection that is the least loss. False: there is none.
  bool shed(ShedScope scope);
  // New limits, as in the constructor; idle connections beyond them are closed.
  void set_limits(std::size_t most_served, std::size_t most_beyond);
  [[nodiscard]] std::size_t size() const { return connections_.size(); }
  [[nodiscard]] std::size_t most_served() const { return most_served_; }

 private:
  struct Connection;
  // What may be shed, in that order; of each class the longest there first.
  enum class ShedClass : std::uint8_t {
    silent,          // since it connected
    lingering,       // has had its last response
    idle,            // between requests
    partial_request  // has begun its first request
  };
  using ShedPosition = std::tuple<ShedClass, double, ClientId>;  // since when, in ms

  // Events of sockets.
  void ready(std::uint32_t events) override;
  void ready(Connection& c, std::uint32_t events);
  void accept_all();

  // Requests.
  void read_request(Connection& c);
  void read_request_body(Connection& c);
  bool feed(Connection& c);
  void request_received(Connection& c);

  // Responses.
  Connection* awaiting_response(ClientId id);
  void respond_and_close(Connection& c, int status);
  void start_sending(Connection& c, bool written);
  void continue_sending(Connection& c);
  void pump_response(Connection& c);
  void discard_input(Connection& c);
  [[nodiscard]] bool is_last_response(const Connection& c) const;

  // A connection's life.
  void set_deadline(Connection& c, double ms);
  void clear_deadline(Connection& c);
  void offer_to_shed(Connection& c, ShedClass shed_class);
  void keep_from_shedding(Connection& c);
  void report_gone(Connection& c);
  void count_outcome(Connection& c, int status);
  void close(Connection& c);
  [[nodiscard]] static bool idle(const Connection& c);

  transport::Loop& loop_;
  transport::Pool& pool_;
  transport::DueTimes& due_;
  const double& now_ms_;
  std::size_t most_served_, most_beyond_;
  RequestCounters& counters_;
  transport::Listener listener_;
  bool accept_blocked_ = false;  // connections may wait that there was no descriptor for
  bool draining_ = false, stopping_ = false;
  static constexpr ClientId accept_retry_id = 0;  // the due time of the next attempt to accept
  double accept_retry_due_ = transport::DueTimes::none;
  ClientId next_id_ = accept_retry_id + 1;
  std::unordered_map<ClientId, std::unique_ptr<Connection>> connections_;
  std::set<ShedPosition> sheddable_;
  std::vector<std::unique_ptr<Connection>> closed_;  // in this turn
  std::vector<DownstreamEvent> events_;
};

}  // namespace meadowgauge::proxy
