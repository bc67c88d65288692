#include "testbed/stand_ins/command_server.hpp"

#include <utility>

namespace meadowgauge::testbed {

using transport::Stream;

namespace {
constexpr std::size_t max_command_bytes = 4096;
constexpr std::size_t max_connections = 16;
constexpr std::size_t max_unread_bytes = 4 << 20;  // of replies that the peer has not read yet
}  // namespace

void CommandServer::ready(std::uint32_t) {
  bool is_out_of_resources = false;
  while (auto fd = listener_.accept(is_out_of_resources)) {
    if (connections_.size() >= max_connections) continue;  // the destructor of `fd` closes the connection
    auto number = next_number_++;
    connections_.emplace(number, std::make_unique<Connection>(*this, number, std::move(fd)));
  }
}

void CommandServer::read_from(Connection& connection) {
  if (!connection.stream.flush()) return close(connection);
  for (;;) {
    auto result = connection.stream.fill();
    if (result == Stream::ReadResult::nothing) return;
    if (result != Stream::ReadResult::bytes) return close(connection);
    connection.unhandled += connection.stream.bytes();
    connection.stream.consume(connection.stream.bytes().size());
    if (!reply_to_commands(connection) || connection.unhandled.size() > max_command_bytes)
      return close(connection);
  }
}

bool CommandServer::reply_to_commands(Connection& connection) {
  auto& unhandled = connection.unhandled;
  for (auto end = unhandled.find('\n'); end != std::string::npos; end = unhandled.find('\n')) {
    auto command = unhandled.substr(0, end);
    unhandled.erase(0, end + 1);
    if (command.ends_with('\r')) command.pop_back();
    auto& out = connection.stream.out();
    // A peer that sends commands without reading the replies is disconnected.
    if (out.size() > max_unread_bytes || !out.append(handler_(command)) || !connection.stream.flush())
      return false;
  }
  return true;
}

void CommandServer::close(Connection& connection) {
  auto it = connections_.find(connection.number);
  if (it == connections_.end()) return;
  connection.stream.close();
  closed_.push_back(std::move(it->second));
  connections_.erase(it);
  schedule_cleanup();
}

}  // namespace meadowgauge::testbed
