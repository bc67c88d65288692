#include "admin/server.hpp"

#include <algorithm>
#include <utility>

namespace meadowgauge::admin {

using transport::Stream;

namespace {

// Clients are scripts and tools, which send the command and read the reply without delay.
constexpr double command_timeout_ms = 2000;
constexpr double reply_timeout_ms = 2000;
// Bytes after the command are read and discarded up to this limit. Closing the socket with unread bytes would
// reset the connection before the client has read the reply.
constexpr std::size_t max_discarded_bytes = 65536;
// One buffer to read into, and enough for the largest reply.
constexpr std::size_t buffers_per_connection = 8;
// In bytes; a command may end in `\r\n`.
constexpr std::size_t line_end_length = 2;

}  // namespace

// One connection of an operator, which carries one command and its reply.
struct Server::Connection final : transport::EventHandler {
  Connection(Server& owner, std::uint64_t connection_id, transport::Fd fd)
      : server(owner), id(connection_id), stream(owner.loop_, owner.pool_, std::move(fd), *this, true) {}
  void ready(std::uint32_t /*events*/) override { server.read(*this); }

  Server& server;
  std::uint64_t id;
  Stream stream;
  std::string line;
  bool has_reply = false;  // the command was received and its reply queued
  std::size_t discarded_bytes = 0;
  double deadline_ms = 0;
  double reply_at_ms = 0;  // sends the reply at this time; 0: without delay
};

Server::Server(transport::Loop& loop, const transport::Address& address, CommandHandler& handler)
    : loop_(loop),
      handler_(handler),
      pool_(buffers_per_connection * max_connections),
      listener_(loop, address, *this, {.first = true}) {}

Server::~Server() = default;

void Server::ready(std::uint32_t /*events*/) {
  bool out_of_descriptors = false;
  while (auto fd = listener_.accept(out_of_descriptors)) {
    if (connections_.size() >= max_connections) close_oldest();
    const auto id = next_id_++;
    auto accepted = std::make_unique<Connection>(*this, id, std::move(fd));
    auto& connection = *connections_.emplace(id, std::move(accepted)).first->second;
    connection.deadline_ms = clock_.now() + command_timeout_ms;
    read(connection);
  }
}

// Closes the oldest connection without a command or, if there is none, the oldest connection.
void Server::close_oldest() {
  const auto oldest =
      std::min_element(connections_.begin(), connections_.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second->has_reply, a.first) < std::pair(b.second->has_reply, b.first);
      });
  close(*oldest->second);
}

void Server::read(Connection& connection) {
  for (;;) {
    const auto result = connection.stream.fill();
    if (result == Stream::ReadResult::nothing) break;
    if (result == Stream::ReadResult::broken) return close(connection);
    if (result == Stream::ReadResult::end) {
      if (!connection.has_reply) return close(connection);  // discards an incomplete command
      break;
    }
    if (!connection.has_reply) {
      receive_command(connection);
      if (!connection.stream.open()) return;
      continue;
    }
    const auto size = connection.stream.bytes().size();
    connection.discarded_bytes += size;
    connection.stream.consume(size);
    if (connection.discarded_bytes > max_discarded_bytes) return close(connection);
  }
  flush(connection);
}

// Appends the received bytes to the line. Queues the reply once the line is complete or too long.
void Server::receive_command(Connection& connection) {
  const auto bytes = connection.stream.bytes();
  auto& line = connection.line;
  line += bytes.substr(0, max_command_length + line_end_length);
  connection.stream.consume(bytes.size());

  const auto end = line.find('\n');
  const bool is_complete = end != std::string::npos;
  if (!is_complete && line.size() < max_command_length + line_end_length) return;

  connection.has_reply = true;
  connection.deadline_ms = clock_.now() + reply_timeout_ms;
  const bool has_more_lines = is_complete && end + 1 < line.size();
  const auto reply = has_more_lines ? "fail one line to a connection\n"
                                    : reply_to(connection, std::string_view(line).substr(0, end));
  if (!connection.stream.out().append(reply)) close(connection);
}

std::string Server::reply_to(Connection& connection, std::string_view line) {
  const auto parsed = parse_command(line);
  if (const auto* error = std::get_if<CommandError>(&parsed))
    return std::string("fail ").append(describe(*error)).append("\n");
  const auto& command = std::get<Command>(parsed);
  switch (command.kind) {
    case Command::Kind::health:
      return handler_.ready() ? "ok ready\n" : "fail not ready\n";
    case Command::Kind::dump:
      return format_metrics(handler_.metrics());
    case Command::Kind::offline:
    case Command::Kind::online:
      break;
  }
  return drain(connection, command);
}

std::string Server::drain(Connection& connection, const Command& command) {
  const auto result = handler_.set_offline(command.server_id, command.kind == Command::Kind::offline);
  // Both reasons have the same reply, on which operators' scripts rely.
  if (result.status != DrainResult::Status::accepted) return "fail no server " + command.server_id + "\n";
  if (result.effective_after_ms > 0) connection.reply_at_ms = clock_.now() + result.effective_after_ms;
  return "ok\n";
}

void Server::flush(Connection& connection) {
  if (!connection.has_reply || connection.reply_at_ms > 0) return;
  const bool broken = !connection.stream.flush();
  if (broken || connection.stream.flushed()) close(connection);
}

void Server::tick() {
  closed_.clear();
  const double now_ms = clock_.now();
  std::vector<Connection*> all;  // a copy of the list, because close() erases from connections_
  all.reserve(connections_.size());
  for (auto& [id, connection] : connections_) all.push_back(connection.get());
  for (auto* connection : all) {
    if (connection->reply_at_ms > 0 && now_ms >= connection->reply_at_ms) {
      connection->reply_at_ms = 0;
      flush(*connection);
    } else if (now_ms >= connection->deadline_ms) {
      close(*connection);
    }
  }
}

void Server::close(Connection& connection) {
  const auto it = connections_.find(connection.id);
  if (it == connections_.end()) return;
  connection.stream.end_sending();
  connection.stream.close();
  closed_.push_back(std::move(it->second));
  connections_.erase(it);
}

}  // namespace meadowgauge::admin
