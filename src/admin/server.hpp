// The admin server: operators connect to a separate address, send one command line and read one reply. The
// server owns the listener and the connections; a CommandHandler executes the commands.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "admin/commands.hpp"
#include "transport/clock.hpp"
#include "transport/listener.hpp"
#include "transport/pool.hpp"
#include "transport/stream.hpp"

namespace meadowgauge::admin {

// The result of CommandHandler::set_offline().
struct DrainResult {
  enum class Status : std::uint8_t { accepted, unknown_server, too_many_drained };
  Status status = Status::accepted;
  // Time until all processes of this balancer have applied the change, in ms. The reply is delayed by it.
  double effective_after_ms = 0;
};

// Executes commands. Called from the event loop; must not block.
class CommandHandler {
 public:
  CommandHandler() = default;
  CommandHandler(const CommandHandler&) = delete;
  CommandHandler& operator=(const CommandHandler&) = delete;

  // Returns whether the balancer accepts requests.
  [[nodiscard]] virtual bool ready() = 0;
  // Returns the current metrics.
  [[nodiscard]] virtual proxy::Metrics metrics() = 0;
  // Drains the server (`offline`) or ends its manual drain.
  virtual DrainResult set_offline(const std::string& server_id, bool offline) = 0;

 protected:
  ~CommandHandler() = default;
};

// Serves one command per connection. A connection is closed after the reply or at its deadline.
class Server final : transport::EventHandler {
 public:
  // At the maximum, a new connection replaces the oldest one without a command or, if all have one, the
  // oldest.
  static constexpr std::size_t max_connections = 16;

  // `loop` and `handler` outlive the server. Throws std::system_error if it cannot listen on `address`.
  Server(transport::Loop& loop, const transport::Address& address, CommandHandler& handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // The bound address; for port 0, with the port that the system chose.
  [[nodiscard]] transport::Address address() const { return listener_.address(); }
  // To be called periodically: sends delayed replies that are due and closes connections past their deadline.
  void tick();

 private:
  struct Connection;
  void ready(std::uint32_t events) override;
  void close_oldest();
  void read(Connection& connection);
  void receive_command(Connection& connection);
  [[nodiscard]] std::string reply_to(Connection& connection, std::string_view line);
  [[nodiscard]] std::string drain(Connection& connection, const Command& command);
  void flush(Connection& connection);
  void close(Connection& connection);

  transport::Loop& loop_;
  CommandHandler& handler_;
  transport::Clock clock_;
  transport::Pool pool_;  // separate from the proxy's pool, which the proxy's clients may exhaust
  transport::Listener listener_;
  std::uint64_t next_id_ = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  // Closed connections, freed in the next tick, because a caller up the stack may still use the stream.
  std::vector<std::unique_ptr<Connection>> closed_;
};

}  // namespace meadowgauge::admin
