// The HTTP server of the stand-ins: listeners, connections with one request at a time, and a handler for
// requests and disconnects.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "protocol/http.hpp"
#include "testbed/context.hpp"
#include "transport/listener.hpp"
#include "transport/stream.hpp"

namespace meadowgauge::testbed {

// Identifies a connection within its server; ids are not reused.
using ConnectionId = std::uint64_t;

class HttpServer final : public TestbedContext::Component {
 public:
  class Handler {
   public:
    // Called at the first byte of a request.
    virtual void on_first_byte(ConnectionId, int /*listener*/) {}
    // Called for a complete request, which is valid until respond(). `first`: whether the request is the
    // first of its connection.
    virtual void on_request(ConnectionId connection, int listener, const protocol::Message& request,
                            bool first) = 0;
    // Called if the connection ends, or an invalid request closes it, between a request's first byte and its
    // response.
    virtual void on_disconnect(ConnectionId) {}

   protected:
    ~Handler() = default;
  };

  // The handler outlives the server. Destroying the server calls no handler.
  HttpServer(TestbedContext& context, Handler& handler) : Component(context), handler_(handler) {}
  ~HttpServer() override;
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Opens a listener and returns its number, from 0. Throws std::system_error if it cannot listen.
  int listen(const transport::Address& at);
  [[nodiscard]] transport::Address address(int listener) const;
  // Closes the listeners and resets all connections, including those that are not accepted yet.
  void close_all();

  // Responds to the current request of that connection; does nothing if the connection is closed. `headers`:
  // complete lines.
  void respond(ConnectionId id, int status, std::string_view headers, std::string_view body);
  // Writes raw bytes of a response without ending the request. Returns false if the connection is closed.
  bool write(ConnectionId id, std::string_view bytes);
  // Sets the idle timeout of connections in ms; 0: none.
  void set_idle_timeout(double ms) { idle_timeout_ms_ = ms; }

  void on_timer(std::uint64_t number) override;
  void cleanup() override;

 private:
  struct Listener final : transport::EventHandler {
    Listener(HttpServer& owner, const transport::Address& at, int listener_number)
        : server(owner), number(listener_number), socket(owner.context_.loop, at, *this) {}
    void ready(std::uint32_t) override { server.accept(*this); }
    HttpServer& server;
    int number;
    transport::Listener socket;
  };
  struct Connection final : transport::EventHandler {
    Connection(HttpServer& owner, ConnectionId connection_id, int listener_number, transport::Fd fd)
        : server(owner),
          id(connection_id),
          listener(listener_number),
          stream(owner.context_.loop, owner.context_.pool, std::move(fd), *this),
          request(owner.context_.pool, protocol::Message::Kind::request) {}
    void ready(std::uint32_t) override { server.handle_events(*this); }
    HttpServer& server;
    ConnectionId id;
    int listener;
    transport::Stream stream;
    protocol::Message request;
    bool request_started = false;  // the first byte was received
    bool handling = false;         // the request is complete and not answered yet
    bool first = true;             // no complete request so far
    bool closing = false;          // close once the output is written
    double idle_timer = transport::DueTimes::none;
  };
  void accept(Listener& listener);
  void handle_events(Connection& connection);
  // Reads the next bytes of a request. Returns false if there are none or the connection is closed.
  bool read_request(Connection& connection);
  void detect_disconnect(Connection& connection);
  void close(Connection& connection, bool reset);
  void start_idle_timer(Connection& connection);

  Handler& handler_;
  std::vector<std::unique_ptr<Listener>> listeners_, closed_listeners_;
  std::unordered_map<ConnectionId, std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>> closed_;  // kept until the end of the turn
  ConnectionId next_id_ = 1;
  double idle_timeout_ms_ = 0;
};

}  // namespace meadowgauge::testbed
