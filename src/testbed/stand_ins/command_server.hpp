// A socket that accepts commands, one per line, and replies to each by a handler.
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
  // Takes a command without its line end; returns the reply with its line end.
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
    std::string unread;  // an incomplete line
  };
  void ready(std::uint32_t) override;  // the listener
  void read_from(Connection& connection);
  // Returns false if the connection must be closed.
  bool answer_lines(Connection& connection);
  void close(Connection& connection);

  Handler handler_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>> closed_;  // until the end of the turn
  std::uint64_t next_number_ = 0;
  transport::Listener listener_;
};

}  // namespace meadowgauge::testbed
