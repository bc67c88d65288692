#include "testbed/stand_ins/command_server.hpp"

#include <utility>

namespace meadowgauge::testbed {

using transport::Stream;

namespace {
constexpr std::size_t max_command_bytes = 4096;
constexpr std::size_t max_connections = 16;
constexpr std::size_t max_unread_bytes = 4 << 20;  // replies that the peer has not read
}  // namespace

void CommandServer::ready(std::uint32_t) {
  bool full = false;
  while (auto fd = listener_.accept(full)) {
    if (connections_.size() >= max_connections) continue;  // closes it
    auto number = next_number_++;
    connections_.emplace(number, std::make_unique<Connection>(*this, number, std::move(fd)));
  }
}

void CommandServer::read_from(Connection& connection) {
  if (!connection.stream.flush()) return close(connection);
  for (;;) {
    auto got = connection.stream.fill();
    if (got == Stream::ReadResult::nothing) return;
    if (got != Stream::ReadResult::bytes) return close(connection);
    connection.unread += connection.stream.bytes();
    connection.stream.consume(connection.stream.bytes().size());
    if (!answer_lines(connection) || connection.unread.size() > max_command_bytes) return close(connection);
  }
}

bool CommandServer::answer_lines(Connection& connection) {
  auto& unread = connection.unread;
  for (auto end = unread.find('\n'); end != std::string::npos; end = unread.find('\n')) {
    auto command = unread.substr(0, end);
    unread.erase(0, end + 1);
    if (command.ends_with('\r')) command.pop_back();
    auto& out = connection.stream.out();
    // Closes the connection of a peer that sends commands without reading the replies.
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
