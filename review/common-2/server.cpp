#include "server.hpp"

#include "record.hpp"

namespace review {

Server::Server(const std::string& host, Handler serve, int receive_buffer_bytes)
    : serve_(std::move(serve)),
      listener_(listen_on(host, 512, receive_buffer_bytes)),
      address_(address_of(listener_)) {
  acceptor_ = std::thread([this] { accept_all(); });
}

void Server::accept_all() {
  constexpr double poll_interval_ms = 50;
  while (!stopping_) {
    Socket connection = accept_from(listener_, now_ms() + poll_interval_ms);
    if (!connection.open()) continue;
    auto session = std::make_unique<Session>();
    auto* added = session.get();
    added->connection = std::move(connection);
    std::lock_guard lock(mutex_);
    sessions_.push_back(std::move(session));
    added->thread = std::thread([this, added] {
      serve_(added->connection);
      added->connection.shut_down();
    });
  }
}

void Server::stop() {
  if (stopping_.exchange(true)) return;
  acceptor_.join();
  for (auto& session : sessions_) session->connection.shut_down();
  for (auto& session : sessions_) session->thread.join();
  sessions_.clear();
  listener_.close();
}

}  // namespace review
