// The admin server: operators connect to an address of their own, send one command line and read its reply.
// It owns the listener and the connections; what a command does is decided by its CommandHandler.
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
  // The change holds in all processes of this balancer after this time; the reply is held back until then.
  double effective_after_ms = 0;
};

// Carries commands out. Called within a turn of the event loop; must not block.
class CommandHandler {
 public:
  CommandHandler() = default;
  CommandHandler(const CommandHandler&) = delete;
  CommandHandler& operator=(const CommandHandler&) = delete;

  // Whether the balancer accepts requests.
  [[nodiscard]] virtual bool ready() = 0;
  // The figures as of now.
  [[nodiscard]] virtual proxy::Metrics metrics() = 0;
  // Takes the server out of use (`offline`) or puts it back.
  virtual DrainResult set_offline(const std::string& server_id, bool offline) = 0;

 protected:
  ~CommandHandler() = default;
};

// One command a connection, which ends after the reply or at its deadline. Owns both listener and
// connections.
class Server final : transport::Ready {
 public:
  // One connection more closes the oldest, those that were answered last of all.
  static constexpr std::size_t max_connections = 16;

  // `loop` and `handler` outlive the server. Throws std::system_error where `address` can't be listened on.
  Server(transport::Loop& loop, const transport::Address& address, CommandHandler& handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // The address as bound, with the port that the system chose where 0 was asked for.
  [[nodiscard]] transport::Address address() const { return listener_.address(); }
  // Sends replies whose delay is over and closes connections past their deadline. Called periodically.
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
  transport::Pool pool_;  // its own, so that clients of the proxy can't exhaust it
  transport::Listener listener_;
  std::uint64_t next_id_ = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  // Closed, and freed in the next tick: the caller up the stack may still use the stream.
  std::vector<std::unique_ptr<Connection>> closed_;
};

}  // namespace meadowgauge::admin
