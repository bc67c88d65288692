// The admin server: operators connect to an address of their own, send one command line and read its reply.
// It owns the listener and the connections; its CommandHandler executes the commands.
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

// The result of taking a server offline or putting it back.
struct DrainResult {
  enum class Status : std::uint8_t { accepted, unknown_server, too_many_drained };
  Status status = Status::accepted;
  // All processes of this balancer apply the change within this time; the reply is delayed until then.
  double effective_after_ms = 0;
};

// Executes commands. Called within a turn of the event loop; must not block.
class CommandHandler {
 public:
  CommandHandler() = default;
  CommandHandler(const CommandHandler&) = delete;
  CommandHandler& operator=(const CommandHandler&) = delete;

  // Whether the balancer accepts requests.
  [[nodiscard]] virtual bool ready() = 0;
  // The current metrics.
  [[nodiscard]] virtual proxy::Metrics metrics() = 0;
  // Takes the server out of use (`offline`) or puts it back.
  virtual DrainResult set_offline(const std::string& server_id, bool offline) = 0;

 protected:
  ~CommandHandler() = default;
};

// Serves one command per connection, which ends after the reply or at its deadline.
class Server final : transport::Ready {
 public:
  // A further connection closes the oldest one without a command, else the oldest one.
  static constexpr std::size_t max_connections = 16;

  // `loop` and `handler` outlive the server. Throws std::system_error where it cannot listen on `address`.
  Server(transport::Loop& loop, const transport::Address& address, CommandHandler& handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // The bound address, with the port that the system chose for port 0.
  [[nodiscard]] transport::Address address() const { return listener_.address(); }
  // Sends delayed replies that are due and closes connections past their deadline. Called periodically.
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
  transport::Pool pool_;  // separate, so that clients of the proxy cannot exhaust it
  transport::Listener listener_;
  std::uint64_t next_id_ = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  // Closed connections, freed in the next tick: a caller up the stack may still use the stream.
  std::vector<std::unique_ptr<Connection>> closed_;
};

}  // namespace meadowgauge::admin
