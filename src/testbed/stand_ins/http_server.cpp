#include "testbed/stand_ins/http_server.hpp"

#include <utility>

#include "protocol/http_writer.hpp"

namespace meadowgauge::testbed {

using transport::Stream;

namespace {
constexpr std::size_t max_unread_bytes = 16 << 20;  // a connection with more unread output is closed
}

HttpServer::~HttpServer() = default;

int HttpServer::listen(const transport::Address& at) {
  int number = static_cast<int>(listeners_.size());
  listeners_.push_back(std::make_unique<Listener>(*this, at, number));
  return number;
}

transport::Address HttpServer::address(int listener) const {
  return listeners_[static_cast<std::size_t>(listener)]->socket.address();
}

void HttpServer::close_all() {
  for (auto& listener : listeners_) {
    listener->socket.close();
    closed_listeners_.push_back(std::move(listener));
    schedule_cleanup();
  }
  listeners_.clear();
  while (!connections_.empty()) close(*connections_.begin()->second, true);
}

void HttpServer::accept(Listener& listener) {
  bool full = false;
  while (auto fd = listener.socket.accept(full)) {
    auto id = next_id_++;
    auto connection = std::make_unique<Connection>(*this, id, listener.number, std::move(fd));
    start_idle_timer(*connections_.emplace(id, std::move(connection)).first->second);
  }
}

void HttpServer::start_idle_timer(Connection& connection) {
  if (idle_timeout_ms_ > 0)
    set_timer(connection.id, connection.idle_timer, context_.now_ms + idle_timeout_ms_);
}

void HttpServer::handle_events(Connection& connection) {
  if (!connection.stream.open()) return;
  if (!connection.stream.flush()) return close(connection, false);
  if (connection.closing && connection.stream.flushed() && !connection.handling)
    return close(connection, false);
  for (;;) {
    if (connection.handling) return detect_disconnect(connection);
    if (!read_request(connection)) return;
    if (!connection.request.complete()) continue;
    connection.handling = true;
    bool first = std::exchange(connection.first, false);
    handler_.on_request(connection.id, connection.listener, connection.request, first);
    if (!connection.stream.open()) return;
  }
}

// While a request is handled, further bytes stay buffered; a disconnect is reported at once.
void HttpServer::detect_disconnect(Connection& connection) {
  if (!connection.stream.bytes().empty()) return;
  auto read_result = connection.stream.fill();
  if (read_result != Stream::ReadResult::nothing && read_result != Stream::ReadResult::bytes)
    close(connection, false);
}

bool HttpServer::read_request(Connection& connection) {
  if (connection.stream.bytes().empty()) {
    auto read_result = connection.stream.fill();
    if (read_result == Stream::ReadResult::nothing) return false;
    if (read_result != Stream::ReadResult::bytes) {
      close(connection, false);
      return false;
    }
  }
  if (!connection.request_started) {
    connection.request_started = true;
    set_timer(connection.id, connection.idle_timer, transport::DueTimes::none);
    handler_.on_first_byte(connection.id, connection.listener);
  }
  connection.stream.consume(connection.request.feed(connection.stream.bytes()));
  if (connection.request.fault() == protocol::Fault::none) return true;
  protocol::write_local_response(connection.stream.out(), static_cast<int>(connection.request.fault()), "",
                                 "", true);
  connection.stream.flush();
  close(connection, false);
  return false;
}

void HttpServer::respond(ConnectionId id, int status, std::string_view headers, std::string_view body) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  auto& connection = *it->second;
  bool omits_body = connection.request.method() == "HEAD";
  connection.closing = !connection.request.keep_alive();
  bool written = protocol::write_local_response(connection.stream.out(), status, headers, body,
                                                connection.closing, omits_body);
  connection.request.reset();
  connection.handling = connection.request_started = false;
  if (!written || !connection.stream.flush()) return close(connection, false);
  if (connection.closing && connection.stream.flushed()) return close(connection, false);
  start_idle_timer(connection);
  connection.stream.again(EPOLLIN);  // handles bytes that arrived during the request
}

bool HttpServer::write(ConnectionId id, std::string_view bytes) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return false;
  auto& connection = *it->second;
  if (connection.stream.out().size() <= max_unread_bytes && connection.stream.out().append(bytes) &&
      connection.stream.flush())
    return true;
  close(connection, false);
  return false;
}

// Closes a connection that has reached its idle timeout. `number`: its id.
void HttpServer::on_timer(std::uint64_t number) {
  auto it = connections_.find(number);
  if (it != connections_.end()) close(*it->second, false);
}

void HttpServer::close(Connection& connection, bool reset) {
  auto it = connections_.find(connection.id);
  if (it == connections_.end()) return;
  set_timer(connection.id, connection.idle_timer, transport::DueTimes::none);
  reset ? connection.stream.reset() : connection.stream.close();
  bool was_interrupted = connection.request_started;
  auto id = connection.id;
  closed_.push_back(std::move(it->second));
  schedule_cleanup();
  connections_.erase(it);
  if (was_interrupted) handler_.on_disconnect(id);
}

void HttpServer::cleanup() {
  closed_.clear();
  closed_listeners_.clear();
}

}  // namespace meadowgauge::testbed
