// Upstreams of the soak: they succeed, fail, reject, reset and hang at random, and record what they receive.
#pragma once

#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "e2e/soak/cell_groups.hpp"
#include "e2e/soak/request_records.hpp"
#include "e2e/soak/soak_discovery.hpp"
#include "e2e/soak/soak_settings.hpp"
#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_process.hpp"
#include "fixtures/waiting.hpp"

namespace meadowgauge::test {

// Accepts and serves the connections to all upstreams, and checks each received request.
class SoakUpstreams {
 public:
  SoakUpstreams(const ProxyProcess& proxy, RandomDraws& random, RequestRecords& requests,
                const SoakDiscovery& discovery, const CellPlacement& cells)
      : proxy_(proxy), random_(random), requests_(requests), discovery_(discovery), cell_groups_(cells) {}

  void serve() {
    for (std::size_t n = 0; n < proxy_.upstreams.size(); ++n)
      while (proxy_.upstreams[n].has_pending_connection())
        connections_.push_back(
            {.peer = proxy_.upstreams[n].accept(), .upstream = n, .request_id = {}, .respond_at = {}});
    for (auto& connection : connections_) serve(connection);
    std::erase_if(connections_, [](const Connection& connection) {
      return !connection.peer.is_open() || !connection.peer.alive();
    });
  }

 private:
  struct Connection {
    TcpConnection peer;
    std::size_t upstream;
    std::string request_id;  // the request without a response; empty if there is none
    Clock::time_point respond_at;
  };

  void serve(Connection& connection) {
    auto& peer = connection.peer;
    while (peer.is_open() && !peer.quiet() && peer.receive_some()) {
    }
    while (auto message = peer.take_message()) request_received(connection, *message);
    if (connection.request_id.empty() || Clock::now() < connection.respond_at) return;
    respond(connection);
  }

  void request_received(Connection& connection, const std::string& message) {
    connection.request_id = id_field_of(message);
    auto& record = requests_[connection.request_id];
    bool hangs = random_.below(record.client_leaves ? 6 : 25) == 0;
    connection.respond_at = Clock::now() + ms(hangs ? 60000 : random_.below(30));
    expect_client_present(connection.request_id, record);
    record.repeated |= record.received++ > record.rejected;
    cell_groups_.attempt_received(connection.request_id, connection.upstream);
    auto drained_at = discovery_.drained_at().find(connection.upstream);
    if (drained_at == discovery_.drained_at().end()) return;
    EXPECT_LT(Clock::now() - drained_at->second, drain_grace + tolerance)
        << connection.request_id << " was sent to a draining upstream";
  }

  void respond(Connection& connection) {
    auto id = std::exchange(connection.request_id, {});
    switch (random_.below(14)) {
      case 0:
        ++requests_[id].rejected;
        cell_groups_.attempt_rejected(id, connection.upstream);
        return connection.peer.send(rejected_response);
      case 1:
        return connection.peer.send(error_response);
      case 2:
        return connection.peer.reset();
      case 3:
        return connection.peer.send(ok_and_close);
      default:
        return connection.peer.send(ok_response);
    }
  }

  const ProxyProcess& proxy_;
  RandomDraws& random_;
  RequestRecords& requests_;
  const SoakDiscovery& discovery_;
  CellGroupVerdict cell_groups_;
  std::vector<Connection> connections_;
};

}  // namespace meadowgauge::test
