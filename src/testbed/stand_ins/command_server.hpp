// A socket server for commands, one per line. A handler returns the reply to each command.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "testbed/context.hpp"
#include "transport/listener.hpp"
#include "transport/stream.hpp"

namespace meadowgauge::testbed {

class CommandServer final : transport::EventHandler, TestbedContext::Component {
 public:
  // Gets a command without its line end; returns the reply with its line end.
  using Handler = std::function<std::string(const std::string& command)>;
  // Throws std::system_error if it cannot listen.
  CommandServer(TestbedContext& context, const transport::Address& listen, Handler handler)
      : Component(context), handler_(std::move(handler)), listener_(context_.loop, listen, *this) {}
  [[nodiscard]] transport::Address address() const { return listener_.address(); }
  void cleanup() override { closed_.clear(); }

 private:
  struct Connection final : transport::EventHandler {
    Connection(CommandServer& owner, std::uint64_t connection_number, transport::Fd fd)
        : server(owner),
          number(connection_number),
          stream(owner.context_.loop, owner.context_.pool, std::move(fd), *this) {}
    void ready(std::uint32_t) override { server.read_from(*this); }
    CommandServer& server;
    std::uint64_t number;
    transport::Stream stream;
    std::string unhandled;  // an incomplete line
  };
  void ready(std::uint32_t) override;  // accepts connections
  void read_from(Connection& connection);
  // Replies to the complete commands received so far. Returns false if the connection must be closed.
  bool reply_to_commands(Connection& connection);
  void close(Connection& connection);

  Handler handler_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>> closed_;  // kept until the end of the turn
  std::uint64_t next_number_ = 0;
  transport::Listener listener_;
};

}  // namespace meadowgauge::testbed
