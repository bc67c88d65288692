// Clients of the soak. They sometimes pipeline requests, and use each connection as long as it is open.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "e2e/soak/request_records.hpp"
#include "e2e/soak/soak_settings.hpp"
#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_process.hpp"

namespace meadowgauge::test {

struct SoakRequest {
  std::string id;  // the header field with the id
  std::string message;
};

// A request with a random class and a random budget. `suffix` makes its id and its idempotency key unique.
inline SoakRequest random_request(RandomDraws& random, const std::string& suffix) {
  constexpr const char* classes[] = {"pay", "view", "set", "hold"};
  std::string name = classes[random.below(4)];
  auto id = "X-Call-Id: " + name + suffix;
  auto head = (name == "view" ? "GET /view" : "POST /" + name) + " HTTP/1.1\r\nHost: b\r\n" + id +
              "\r\nX-Budget-Ms: " + std::to_string(200 + random.below(max_client_timeout_ms - 200));
  if (name == "set" || name == "hold") head += "\r\nIdempotency-Key: key" + suffix;
  return {.id = id, .message = name == "view" ? head + "\r\n\r\n" : http_message(head, "the body")};
}

// A fixed number of clients with one connection each, and idle clients on top.
class SoakClients {
 public:
  SoakClients(const ProxyProcess& proxy, RandomDraws& random, RequestRecords& requests)
      : proxy_(proxy), random_(random), requests_(requests) {}

  // Replaces missing connections and sends requests at random, sometimes a second one before the response.
  void send_requests() {
    while (accepts_connections_ && clients_.size() < connections_in_use) {
      auto connection = proxy_.connect();
      if (!connection.is_open()) break;
      clients_.push_back({.connection = std::move(connection), .unanswered = {}, .end_announced = false});
    }
    for (auto& client : clients_) {
      if (!client.connection.is_open() || client.unanswered.size() >= 2) continue;
      if (client.unanswered.empty() ? random_.below(3) == 0 : random_.below(40) == 0) send_request(client);
    }
  }

  void receive_responses() {
    for (auto& client : clients_) receive_responses(client);
  }

  void forget_closed_connections() {
    std::erase_if(clients_, [](const Client& client) { return !client.connection.is_open(); });
  }

  // Connects idle clients up to the limit on descriptors.
  void connect_crowd() {
    for (int i = 0; i < 120; ++i) idle_clients_.push_back(proxy_.connect());
  }

  // Opens no further connection, because the process has ended.
  void stop_connecting() { accepts_connections_ = false; }

 private:
  struct Client {
    TcpConnection connection;
    std::vector<std::string> unanswered;  // ids, in the order of sending
    bool end_announced = false;           // whether the latest response announced the end of the connection
  };

  void send_request(Client& client) {
    auto request = random_request(random_, std::to_string(++last_id_));
    requests_[request.id].sent_at = Clock::now();
    client.unanswered.push_back(request.id);
    client.connection.send(request.message);
  }

  void receive_responses(Client& client) {
    auto& connection = client.connection;
    bool ended = false;
    while (!ended && connection.is_open() && !connection.quiet()) ended = !connection.receive_some();
    while (auto message = connection.take_message()) {
      if (client.unanswered.empty()) break;
      requests_[client.unanswered.front()].status = status_of(*message);
      client.end_announced = message->find("Connection: close") != std::string::npos;
      client.unanswered.erase(client.unanswered.begin());
    }
    if (!ended) return;
    bool response_has_begun = !connection.receive_until_end().empty();
    for (const auto& id : std::exchange(client.unanswered, {})) {
      auto& record = requests_[id];
      record.truncated = std::exchange(response_has_begun, false);
      bool may_have_crossed = Clock::now() - record.sent_at < crossing_time + tolerance;
      record.unread = !record.truncated && (client.end_announced || may_have_crossed);
    }
    connection.close();
  }

  const ProxyProcess& proxy_;
  RandomDraws& random_;
  RequestRecords& requests_;
  std::vector<Client> clients_;
  std::vector<TcpConnection> idle_clients_;
  int last_id_ = 0;
  bool accepts_connections_ = true;
};

}  // namespace meadowgauge::test
