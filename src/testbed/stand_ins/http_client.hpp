// The HTTP client of the stand-ins: a pool of connections with one request at a time each. The pool grows
// when all connections are busy. Used by the load generator and by servers that call the next tier.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "protocol/http.hpp"
#include "testbed/context.hpp"
#include "testbed/history.hpp"
#include "transport/address.hpp"
#include "transport/stream.hpp"

namespace meadowgauge::testbed {

// Each request gets exactly one result. Requests are sent once: retries are up to the caller.
class HttpClient final : public TestbedContext::Component {
 public:
  struct Target {
    transport::Address at;
    int group = 0;  // a request may use any connection of its group
  };
  struct Result {
    Outcome outcome = Outcome::timed_out;
    int status = 0, target = -1;  // target: index; -1 if no connection was available
    double written_ms = never, ended_ms = never, retry_after_ms = 0;
    double received_by_ms = 0;  // clock reading after the response's last byte was read
    // As in Attempt (history.hpp).
    double arrived_ms = never, write_delay_ms = 0, turn_late_ms = 0, turn_gap_ms = 0;
  };
  class Handler {
   public:
    // Called once for each request, with the token given to send().
    virtual void on_result(std::uint64_t token, const Result& result) = 0;
    // Called if bytes follow the complete response to the connection's last request, `token`.
    virtual void on_extra_bytes(std::uint64_t /*token*/) {}
    // Returns the index of the target for the group's next connection, or -1 if none is available.
    virtual int pick_target(int group) = 0;

   protected:
    ~Handler() = default;
  };
  struct Options {
    std::size_t max_connections = 20000;
    bool connection_per_request = false;
    bool rotate = false;  // reuses the connection that has been idle longest, otherwise the one used last
  };

  // The handler outlives the client.
  HttpClient(TestbedContext& context, std::vector<Target> targets, Handler& handler, Options options)
      : Component(context), targets_(std::move(targets)), handler_(handler), options_(options) {}
  ~HttpClient() override;
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends `message`, a complete request with this id. The handler gets the result once, with `token`, after
  // send() has returned. At `deadline_ms` the request times out and its connection is closed. If the last
  // byte is written late, the deadline moves by that delay: the server counts the request's time budget from
  // there.
  void send(std::uint64_t token, int group, const std::string& message, std::string id, double deadline_ms);
  // Opens `count` connections of a group for later requests; opens fewer if the limit is reached.
  void open_idle(int group, std::size_t count);
  // Returns the number of connections opened so far.
  [[nodiscard]] std::uint64_t connections_opened() const { return next_number_ - 1; }

  void on_timer(std::uint64_t number) override;
  void cleanup() override;

 private:
  struct Connection final : transport::EventHandler {
    Connection(HttpClient& owner, std::uint64_t connection_number, int target_index, transport::Fd fd)
        : client(owner),
          number(connection_number),
          target(target_index),
          stream(owner.context_.loop, owner.context_.pool, std::move(fd), *this),
          response(owner.context_.pool, protocol::Message::Kind::response) {
      stream.record_arrivals();
    }
    void ready(std::uint32_t events) override { client.handle_events(*this, events); }
    HttpClient& client;
    std::uint64_t number;
    int target;
    transport::Stream stream;
    protocol::Message response;
    bool connected = false, busy = false;
    bool reused = false;      // a response was received before
    std::uint64_t token = 0;  // of the last request
    std::string id;
    double sent_ms = 0;  // clock reading at send()
    double written_ms = never, deadline = transport::DueTimes::none;
    double write_delay_ms = 0;  // from `sent_ms` until the last byte was written
  };
  // open() returns null if it cannot open a connection, take_idle() if no connection of the group is idle.
  Connection* open(int group);
  Connection* take_idle(int group);
  void flush(Connection& connection);
  void handle_events(Connection& connection, std::uint32_t events);
  void read_responses(Connection& connection);
  void on_stream_end(Connection& connection);
  static Outcome outcome_of(Connection& connection);
  void finish(Connection& connection, Outcome outcome);
  void close(Connection& connection);
  // Returns the idle connections of the connection's group.
  std::deque<Connection*>& idle_connections_of(const Connection& connection);

  std::vector<Target> targets_;
  Handler& handler_;
  Options options_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::unordered_map<int, std::deque<Connection*>> idle_;  // by group
  std::vector<std::unique_ptr<Connection>> closed_;        // kept until the end of the turn
  struct Unsent {
    std::uint64_t token = 0;
    Result result;
  };
  std::vector<Unsent> unsent_;  // requests without a connection, reported at the end of the turn
  std::uint64_t next_number_ = 1;
};

}  // namespace meadowgauge::testbed
