// One connection to an endpoint, as one state, and the response that is read on it.
#pragma once

#include <cstdint>

#include "policy/types.hpp"
#include "proxy/request/shared_message.hpp"
#include "proxy/upstream/attempt.hpp"
#include "transport/due_times.hpp"
#include "transport/stream.hpp"

namespace meadowgauge::proxy {

class UpstreamConnection;

// Is told of what a connection's socket is ready for.
class UpstreamConnectionHandler {
 public:
  // `events` as epoll gives them. May close the connection, which is there until the end of the turn.
  virtual void connection_ready(UpstreamConnection& connection, std::uint32_t events) = 0;

 protected:
  ~UpstreamConnectionHandler() = default;
};

// Owns its socket and the response that it reads. Times are in ms of the turn's clock.
class UpstreamConnection final : transport::Ready {
 public:
  enum class State : std::uint8_t {
    dialling,   // not up yet
    idle,       // up, without an attempt
    in_flight,  // serves an attempt
    // Past a response and not used yet: what an endpoint sends behind it may come a little later, and would
    // pass for the response to the next request.
    settling,
    closed
  };

  // Dialled just now, at a server of that generation (EndpointSlots). `loop`, `buffers` and `handler` outlive
  // it. Throws std::system_error where epoll does not take the descriptor.
  UpstreamConnection(transport::Loop& loop, transport::Pool& buffers, UpstreamConnectionHandler& handler,
                     ConnectionId id, EndpointIndex endpoint, int generation, transport::Fd fd)
      : buffers_(buffers),
        handler_(handler),
        id_(id),
        endpoint_(endpoint),
        generation_(generation),
        stream_(loop, buffers, std::move(fd), *this) {}

  [[nodiscard]] ConnectionId id() const { return id_; }
  [[nodiscard]] EndpointIndex endpoint() const { return endpoint_; }
  [[nodiscard]] int generation() const { return generation_; }
  [[nodiscard]] State state() const { return state_; }
  // Of one in flight; 0 otherwise.
  [[nodiscard]] AttemptId attempt() const { return attempt_; }
  [[nodiscard]] transport::Stream& stream() { return stream_; }
  [[nodiscard]] const transport::Stream& stream() const { return stream_; }

  // The steps from state to state.
  // A dial has come up, or a settling connection has settled.
  void become_idle();
  // Idle: serves that attempt from now on, and is ready to read its response.
  void begin_attempt(AttemptId attempt, double now_ms);
  // In flight: the response is complete, and has been taken.
  void settle();
  // Any state: ends the socket. The response's bytes stay until the connection is destroyed.
  void close();

  // The response to the attempt in flight, as far as it has come.
  [[nodiscard]] protocol::Message& response() { return *response_; }
  [[nodiscard]] const SharedMessage& shared_response() const { return response_; }
  // Hands it over; the next attempt has its own.
  SharedMessage take_response() { return std::move(response_); }
  // When the head of a response of unknown length was complete, for one that may be streamed; 0: it is not.
  [[nodiscard]] double response_head_at_ms() const { return response_head_at_ms_; }
  void set_response_head_at_ms(double at_ms) { response_head_at_ms_ = at_ms; }

  // It lies idle, for others to use, from now on.
  void set_idle_since_ms(double now_ms) { idle_since_ms_ = now_ms; }
  [[nodiscard]] double idle_since_ms() const { return idle_since_ms_; }
  // How long it had been idle before its attempt.
  [[nodiscard]] double idle_before_attempt_ms() const { return idle_before_attempt_ms_; }

  // When its dial or its settling is over, as the owner has recorded it with DueTimes.
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
