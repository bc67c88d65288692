// Clients that send many requests at once and disconnect without reading, with a FIN or a reset.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "e2e/soak/request_records.hpp"
#include "e2e/soak/soak_clients.hpp"
#include "e2e/soak/soak_settings.hpp"
#include "fixtures/proxy_process.hpp"
#include "fixtures/waiting.hpp"

namespace meadowgauge::test {

// Starts floods of such clients at random once enabled.
class SoakFloods {
 public:
  SoakFloods(const ProxyProcess& proxy, RandomDraws& random, RequestRecords& requests)
      : proxy_(proxy), random_(random), requests_(requests) {}

  // No flood starts before this call.
  void enable() { enabled_ = true; }

  void turn() {
    if (enabled_ && random_.below(turns_between_floods) == 0) begin_flood();
    for (auto& client : clients_)
      if (Clock::now() >= client.leaves_at) leave(client);
    std::erase_if(clients_, [](const Client& client) { return !client.connection.is_open(); });
  }

 private:
  static constexpr int turns_between_floods = 30;
  static constexpr int max_connections = 6;
  static constexpr int max_requests = 30;  // per connection
  static constexpr int max_stay_ms = 40;

  struct Client {
    TcpConnection connection;
    std::vector<std::string> request_ids;
    Clock::time_point leaves_at;
    bool resets;
  };

  void begin_flood() {
    int connections = 1 + random_.below(max_connections);
    for (int i = 0; i < connections; ++i) {
      auto connection = proxy_.connect();
      if (!connection.is_open()) return;
      send_requests(std::move(connection));
    }
  }

  // Sends all requests in one write. In half of the cases the last request is incomplete.
  void send_requests(TcpConnection connection) {
    std::vector<std::string> ids;
    std::string bytes;
    int count = 1 + random_.below(max_requests);
    for (int i = 0; i < count; ++i) {
      auto request = random_request(random_, "flood" + std::to_string(++last_id_));
      auto& record = requests_[request.id];
      record.sent_at = Clock::now();
      record.client_leaves = true;
      ids.push_back(request.id);
      bytes += request.message;
    }
    if (random_.below(2) == 0) bytes.resize(bytes.size() - 5);
    connection.send(bytes);
    clients_.push_back({.connection = std::move(connection),
                        .request_ids = std::move(ids),
                        .leaves_at = Clock::now() + ms(random_.below(max_stay_ms)),
                        .resets = random_.below(2) == 0});
  }

  void leave(Client& client) {
    if (client.resets)
      client.connection.reset();
    else
      client.connection.close();
    for (const auto& id : client.request_ids) requests_[id].left_at = Clock::now();
  }

  const ProxyProcess& proxy_;
  RandomDraws& random_;
  RequestRecords& requests_;
  std::vector<Client> clients_;
  int last_id_ = 0;
  bool enabled_ = false;
};

}  // namespace meadowgauge::test
