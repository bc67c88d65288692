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

// The number of a connection, unique within its server.
using ConnectionId = std::uint64_t;

class HttpServer final : public TestbedContext::Component {
 public:
  class Handler {
   public:
    // The first byte of a request was received.
    virtual void on_first_byte(ConnectionId, int /*listener*/) {}
    // A request is complete and valid until respond(). `first`: the first request of the connection.
    virtual void on_request(ConnectionId connection, int listener, const protocol::Message& request,
                            bool first) = 0;
    // The connection ended, or was not HTTP, between a request's first byte and its response.
    virtual void on_disconnect(ConnectionId) {}

   protected:
    ~Handler() = default;
  };

  // The handler outlives the server. Destroying the server calls no handler.
  HttpServer(TestbedContext& context, Handler& handler) : Component(context), handler_(handler) {}
  ~HttpServer() override;
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Returns the listener's number, from 0. Throws std::system_error if it cannot listen.
  int listen(const transport::Address& at);
  [[nodiscard]] transport::Address address(int listener) const;
  // Closes the listeners and resets all connections, including those not accepted yet.
  void close_all();

  // Responds to the request of that connection, if it is still open. `headers`: complete lines.
  void respond(ConnectionId id, int status, std::string_view headers, std::string_view body);
  // Writes raw bytes; the request stays open. Returns false if the connection has ended.
  bool write(ConnectionId id, std::string_view bytes);
  // Sets the idle timeout of connections; 0: none.
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
    void ready(std::uint32_t) override { server.pump(*this); }
    HttpServer& server;
    ConnectionId id;
    int listener;
    transport::Stream stream;
    protocol::Message request;
    bool request_begun = false;  // the first byte was received
    bool handling = false;       // the request is complete and has no response yet
    bool first = true;           // no request has been complete yet
    bool closing = false;        // closes after the output is written
    double idle_timer = transport::DueTimes::none;
  };
  void accept(Listener& listener);
  void pump(Connection& connection);
  // Reads the next bytes of a request. Returns false if there are none or the connection has ended.
  bool read_request(Connection& connection);
  void watch_for_close(Connection& connection);
  void close(Connection& connection, bool reset);
  void start_idle_timer(Connection& connection);

  Handler& handler_;
  std::vector<std::unique_ptr<Listener>> listeners_, closed_listeners_;
  std::unordered_map<ConnectionId, std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>> closed_;  // until the end of the turn
  ConnectionId next_id_ = 1;
  double idle_timeout_ms_ = 0;
};

}  // namespace meadowgauge::testbed
