// Client connections of the running program: silent, slow and idle clients, and more clients than file
// descriptors. The test acts as the clients and one upstream over loopback.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_process.hpp"
#include "fixtures/waiting.hpp"

namespace meadowgauge::test {
namespace {

// Guards against connections held by clients that send nothing, an incomplete request or a body over the
// limit: each gets a status or is closed within 3 s.
TEST(ClientConnections, ClosesSilentAndSlowClientsSoonAfterConnecting) {
  ProxyProcess proxy({.upstreams = 1});
  auto served = proxy.connect(), slow = proxy.connect(), silent = proxy.connect(), endless = proxy.connect();
  served.send(http_request("/pay"));
  auto upstream = accept_and_respond(proxy.upstreams[0], ok_response);
  EXPECT_EQ(status_of(served.receive_message()), 200);
  endless.send("POST /pay HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\nContent-Length: 60000000\r\n\r\n");
  EXPECT_EQ(status_of(endless.receive_message()), 413);
  endless.send(std::string(4000000, 'x'));  // returns once the program has read it or has closed
  EXPECT_TRUE(endless.wait_for_end());
  auto start = Clock::now();
  slow.send("POST /pay HTTP");
  EXPECT_EQ(status_of(slow.receive_message()), 408);
  EXPECT_TRUE(slow.wait_for_end());
  EXPECT_TRUE(silent.wait_for_end());
  EXPECT_LT(Clock::now() - start,
            std::chrono::milliseconds(10000));  // 3 s, and a margin for a busy machine
  EXPECT_TRUE(served.quiet());                  // a connection may be idle after a complete request
}

// Guards against a flood of incomplete requests that uses up the connections until their timeouts:
// connections without a complete request are evicted for other clients.
TEST(ClientConnections, ServesACompleteRequestUnderAFloodOfPartialOnes) {
  ProxyProcess proxy({.upstreams = 1, .sockets = 48});
  std::vector<TcpConnection> partial;
  for (int i = 0; i < 40; ++i) {
    partial.push_back(proxy.connect());
    partial.back().send("POST /pay HT");
  }
  auto client = proxy.connect();
  client.send(http_request("/pay"));
  auto upstream = accept_and_respond(proxy.upstreams[0], ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
  EXPECT_TRUE(partial.back().quiet());
}

// Guards against evicting the oldest incomplete request: the one without progress is evicted first.
TEST(ClientConnections, EvictsStalledClientsBeforeAProgressingOne) {
  ProxyProcess proxy({.upstreams = 1, .sockets = 48});
  auto slow = proxy.connect();
  auto text = http_request("/pay");
  std::vector<TcpConnection> partial;
  for (std::size_t i = 0; i < text.size(); ++i) {
    slow.send(text.substr(i, 1));
    partial.push_back(proxy.connect());
    partial.back().send("POST /pay HT");
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  auto upstream = accept_and_respond(proxy.upstreams[0], ok_response);
  EXPECT_EQ(status_of(slow.receive_message()), 200);
}

// Guards against idle clients that use up the file descriptors and keep other clients out.
TEST(ClientConnections, ClosesIdleClientsWhenDescriptorsRunOut) {
  for (int open_descriptors : {0, 40}) {
    // With 40 more descriptors open, accept() fails with EMFILE before the connection limit is reached.
    ProxyProcess proxy(
        {.upstreams = 1, .sockets = open_descriptors > 0 ? 4096 : 48, .open_descriptors = open_descriptors});
    std::vector<TcpConnection> idle;
    for (int i = 0; i < 100; ++i) idle.push_back(proxy.connect());
    auto client = proxy.connect();
    client.send(http_request("/pay"));
    auto upstream = accept_and_respond(proxy.upstreams[0], ok_response);
    EXPECT_EQ(status_of(client.receive_message()), 200);
    EXPECT_TRUE(idle.front().wait_for_end());  // the least recently used is closed first
    EXPECT_EQ(proxy.get_status("/-/ready"), 200);
  }
}

// Guards against connections that stay in the listen backlog without a response: some descriptors are
// reserved for rejections.
TEST(ClientConnections, RejectsAtOnceBeyondTheInFlightLimit) {
  ProxyProcess proxy({.upstreams = 1, .sockets = 48});
  std::vector<TcpConnection> served;
  std::vector<TcpConnection> connections;
  int rejected = 0;
  for (int i = 0; i < 40; ++i) {
    auto client = proxy.connect();
    client.send(http_request("/pay"));
    bool forwarded = false;
    for (auto until = Clock::now() + std::chrono::milliseconds(wait_limit_ms); Clock::now() < until;)
      if ((forwarded = proxy.upstreams[0].has_pending_connection()) || !client.quiet()) break;
    if (forwarded) {
      connections.push_back(proxy.upstreams[0].accept());
      connections.back().receive_message();
      served.push_back(std::move(client));
    } else {
      EXPECT_EQ(status_of(client.receive_message()), 503);
      ++rejected;
    }
  }
  EXPECT_GE(served.size(), 4u);
  EXPECT_GE(rejected, 20);
  for (std::size_t i = 0; i < connections.size(); ++i) {
    connections[i].send(ok_response);
    EXPECT_EQ(status_of(served[i].receive_message()), 200);
  }
  // Clients that are still connected are served once there is capacity again.
  served[0].send(http_request("/pay"));
  auto& upstream = connections.back();  // the most recently used connection is reused first
  upstream.receive_message();
  upstream.send(ok_response);
  EXPECT_EQ(status_of(served[0].receive_message()), 200);
}

// Guards against a limit that counts connections: it counts requests in flight, so further connections are
// served one after another.
TEST(ClientConnections, ServesBeyondLimitWhileFewRequestsAreInFlight) {
  ProxyProcess proxy({.upstreams = 1, .sockets = 48});
  auto request = http_request("/pay");
  std::vector<TcpConnection> clients;
  for (int i = 0; i < 14; ++i) {
    clients.push_back(proxy.connect());
    clients.back().send(request.substr(0, 10));
  }
  TcpConnection upstream;
  for (auto& client : clients) {
    client.send(request.substr(10));
    if (&client == &clients.front()) upstream = proxy.upstreams[0].accept();
    upstream.receive_message();
    upstream.send(ok_response);
    EXPECT_EQ(status_of(client.receive_message()), 200);
  }
}

// Guards against closing clients whose requests have arrived in time: epoll reports 256 connections per turn,
// and the timeouts of the others must not be handled before their requests are read.
TEST(ClientConnections, ReadsRequestsThatArrivedBeforeTheirTimeout) {
  ProxyProcess proxy({.upstreams = 1, .sockets = 1000});
  std::vector<TcpConnection> clients;
  for (int i = 0; i < 400; ++i) clients.push_back(proxy.connect());
  EXPECT_EQ(proxy.get_status("/-/ready"), 200);
  auto start = Clock::now();
  proxy.pause();
  sleep_until(start + ms(2700));
  for (auto& client : clients) client.send("GET /-/ready HTTP/1.1\r\nHost: b\r\n\r\n");
  proxy.resume();
  int responses = 0;
  for (auto& client : clients) responses += status_of(client.receive_message()) == 200 ? 1 : 0;
  EXPECT_EQ(responses, 400);
}

}  // namespace
}  // namespace meadowgauge::test
