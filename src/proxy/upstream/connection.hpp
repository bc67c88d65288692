// One connection to an endpoint: its state, and the response that is read from the connection.
#pragma once

#include <cstdint>

#include "policy/types.hpp"
#include "proxy/request/shared_message.hpp"
#include "proxy/upstream/attempt.hpp"
#include "transport/due_times.hpp"
#include "transport/stream.hpp"

namespace meadowgauge::proxy {

class UpstreamConnection;

// Handles the socket events of a connection.
class UpstreamConnectionHandler {
 public:
  // `events`: epoll event bits. May close the connection; the object lives until the end of the loop turn.
  virtual void connection_ready(UpstreamConnection& connection, std::uint32_t events) = 0;

 protected:
  ~UpstreamConnectionHandler() = default;
};

// Owns the socket, and the response until take_response() transfers it. Times are in ms of the loop turn's
// clock.
class UpstreamConnection final : transport::EventHandler {
 public:
  enum class State : std::uint8_t {
    dialling,   // connecting
    idle,       // connected, without an attempt
    in_flight,  // serves an attempt
    // A response is complete, but the connection is not reused yet: surplus bytes that arrive late would be
    // read as the response to the next request.
    settling,
    closed
  };

  // All parts outlive the connection.
  struct Parts {
    transport::Loop& loop;
    transport::Pool& buffers;
    UpstreamConnectionHandler& handler;
  };
  // Takes over a dial in progress. `generation`: the endpoint's generation in EndpointSlots. Throws
  // std::system_error if epoll refuses the descriptor.
  UpstreamConnection(const Parts& parts, ConnectionId id, EndpointIndex endpoint, int generation,
                     transport::Fd fd)
      : buffers_(parts.buffers),
        handler_(parts.handler),
        id_(id),
        endpoint_(endpoint),
        generation_(generation),
        stream_(parts.loop, parts.buffers, std::move(fd), *this) {}

  [[nodiscard]] ConnectionId id() const { return id_; }
  [[nodiscard]] EndpointIndex endpoint() const { return endpoint_; }
  [[nodiscard]] int generation() const { return generation_; }
  [[nodiscard]] State state() const { return state_; }
  // The attempt in flight; 0 in other states.
  [[nodiscard]] AttemptId attempt() const { return attempt_; }
  [[nodiscard]] transport::Stream& stream() { return stream_; }
  [[nodiscard]] const transport::Stream& stream() const { return stream_; }

  // Transitions.
  // From dialling or settling.
  void become_idle();
  // From idle: assigns the attempt and creates the message for its response.
  void begin_attempt(AttemptId attempt, double now_ms);
  // From in_flight, after take_response().
  void settle();
  // From any state: closes the socket, with a reset if the endpoint's system has not received the whole
  // request yet. Keeps the response until the connection is destroyed.
  void close();

  // The received part of the response to the attempt in flight.
  [[nodiscard]] protocol::Message& response() { return *response_; }
  [[nodiscard]] const SharedMessage& shared_response() const { return response_; }
  // Transfers the response to the caller; begin_attempt() creates the next one.
  SharedMessage take_response() { return std::move(response_); }
  // When the head of a buffered response of unknown length was complete; 0 without such a response.
  [[nodiscard]] double response_head_at_ms() const { return response_head_at_ms_; }
  void set_response_head_at_ms(double at_ms) { response_head_at_ms_ = at_ms; }

  // Since when the connection has been idle in the pool.
  void set_idle_since_ms(double now_ms) { idle_since_ms_ = now_ms; }
  [[nodiscard]] double idle_since_ms() const { return idle_since_ms_; }
  // Idle time before the attempt in flight.
  [[nodiscard]] double idle_before_attempt_ms() const { return idle_before_attempt_ms_; }

  // The end of dialling or settling that the owner has registered in DueTimes.
  [[nodiscard]] double& due_ms() { return due_ms_; }

 private:
  void ready(std::uint32_t events) override { handler_.connection_ready(*this, events); }

  transport::Pool& buffers_;
  UpstreamConnectionHandler& handler_;
  ConnectionId id_;
  EndpointIndex endpoint_;
  int generation_;
  transport::Stream stream_;
  State state_ = State::dialling;
  AttemptId attempt_ = 0;
  SharedMessage response_;
  double response_head_at_ms_ = 0;
  double idle_since_ms_ = 0;
  double idle_before_attempt_ms_ = 0;
  double due_ms_ = transport::DueTimes::none;
};

}  // namespace meadowgauge::proxy
