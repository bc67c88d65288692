// A stand-in that listens: one thread accepts, each connection has a thread of its own.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net.hpp"

namespace review {

// Serves connections until it is stopped.
class Server {
 public:
  using Handler = std::function<void(Socket& connection)>;

  // Listens on a free port of `host`, and calls `serve` for each connection. The connection is ended when
  // `serve` returns. `receive_buffer_bytes`: see listen_on().
  Server(const std::string& host, Handler serve, int receive_buffer_bytes = 0);
  ~Server() { stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  [[nodiscard]] const std::string& address() const { return address_; }
  // Ends all connections and joins all threads.
  void stop();
  [[nodiscard]] bool stopping() const { return stopping_; }

 private:
  struct Session {
    Socket connection;
    std::thread thread;
  };

  void accept_all();

  Handler serve_;
  Socket listener_;
  std::string address_;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Session>> sessions_;
  std::thread acceptor_;
};

}  // namespace review
