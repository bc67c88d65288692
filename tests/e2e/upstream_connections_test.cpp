// Upstream connections of the running program: which idle ones are reused, closed or avoided, and what
// happens to requests that wait for one to be established. The test plays clients, upstreams and discovery
// over loopback.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fixtures/discovery_stand_in.hpp"
#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_process.hpp"

namespace meadowgauge::test {
namespace {

TEST(UpstreamConnections, DropsIdleOnesWhenTheUpstreamDepartsOrRestarts) {
  ProxyProcess proxy({.upstreams = 1});
  auto watch = accept_watch(proxy.discovery);
  int seq = 1;
  for (std::string health : {"left", "active"}) {
    auto client = proxy.connect();
    client.send(http_request("/pay"));
    auto upstream = accept_and_respond(proxy.upstreams[0], ok_response);
    EXPECT_EQ(status_of(client.receive_message()), 200);
    publish(watch, endpoint_list(++seq, false,
                                 {endpoint_entry(0, proxy.upstreams[0].address(), health,
                                                 health == "left" ? 0 : 1e12)}));
    EXPECT_TRUE(upstream.wait_for_end());
    publish(watch,
            endpoint_list(++seq, false, {endpoint_entry(0, proxy.upstreams[0].address(), "active", 0)}));
    publish(watch, endpoint_list(++seq, false, {marker_entry}));
    proxy.wait_for_log(marker_log);  // by now the previous line has been read
  }
}

TEST(UpstreamConnections, ClosesIdleOnesBeforeTheUpstreamWould) {
  ProxyProcess proxy(
      {.upstreams = 1, .settings = R"(,"limits":{"conn_idle_ms":300.0,"max_backend_fetches":3})"});
  auto client = proxy.connect();
  client.send(http_request("/pay"));
  auto upstream = accept_and_respond(proxy.upstreams[0], ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
  EXPECT_TRUE(upstream.wait_for_end());
}

// A connection lost without a FIN is reset by the next write once the peer is back.
TEST(UpstreamConnections, DropsIdleOnesAfterATimeoutWithoutOtherTraffic) {
  ProxyProcess proxy({.upstreams = 1});
  auto one = proxy.connect(), two = proxy.connect();
  one.send(http_request("/pay"));
  auto first = proxy.upstreams[0].accept();
  first.receive_message();
  two.send(http_request("/pay"));
  auto second = proxy.upstreams[0].accept();
  second.receive_message();
  for (auto* upstream : {&first, &second}) upstream->send(ok_response);
  EXPECT_EQ(status_of(one.receive_message()), 200);
  EXPECT_EQ(status_of(two.receive_message()), 200);
  one.send(http_request("/pay", 500));
  EXPECT_EQ(status_of(one.receive_message()), 504);
  EXPECT_TRUE(first.wait_for_end());
  EXPECT_TRUE(second.wait_for_end());
}

// Bytes after a response may arrive later; they are not the response to the next request.
TEST(UpstreamConnections, LetsOneSettleBeforeItIsReused) {
  ProxyProcess proxy({.upstreams = 1, .settings = R"(,"limits":{"settle_ms":600000.0})"});
  auto client = proxy.connect();
  client.send(http_request("/pay"));
  auto upstream = accept_and_respond(proxy.upstreams[0], ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
  client.send(http_request("/pay"));
  auto next = proxy.upstreams[0].accept();
  next.receive_message();
  upstream.send(http_message("HTTP/1.1 200 OK", "made for another"));
  EXPECT_TRUE(upstream.wait_for_end());
  next.send(ok_response);
  EXPECT_EQ(status_and_body(client.receive_message()), (std::pair<int, std::string>{200, "done"}));
}

// A FIN may be lost: once several servers closed idle connections, others of similar age are not reused.
TEST(UpstreamConnections, AvoidsIdleOnesNearTheAgeAtWhichOthersWereClosed) {
  ProxyProcess proxy({.upstreams = 3});
  std::vector<TcpConnection> clients, connections;
  for (int i = 0; i < 6; ++i) {
    clients.push_back(proxy.connect());
    clients.back().send(http_request("/pay"));
    connections.push_back(proxy.upstreams[wait_for_dialled_upstream(proxy)].accept());
    connections.back().receive_message();
  }
  for (std::size_t i = 0; i < 6; ++i) {
    connections[i].send(ok_response);
    EXPECT_EQ(status_of(clients[i].receive_message()), 200);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(100));  // lets the connections age
  for (std::size_t i = 0; i < 5; ++i) connections[i].close();
  EXPECT_EQ(proxy.get_status("/-/ready"), 200);
  for (std::size_t i = 0; i < 3; ++i) clients[i].send(http_request("/pay"));
  for (auto& listener : proxy.upstreams)
    connections.push_back(accept_and_respond(listener, ok_response));  // each has a new connection
  EXPECT_TRUE(connections[5].quiet());
}

// New servers keep appearing, some at the address of a server that the list still has.
TEST(UpstreamConnections, ReleasesAllWhenServersAreReplacedAtOneAddress) {
  ProxyProcess proxy({.upstreams = 1});
  auto watch = accept_watch(proxy.discovery);
  auto client = proxy.connect();
  for (int i = 1; i <= 40; ++i) {
    client.send(http_request("/pay"));
    auto upstream = accept_and_respond(proxy.upstreams[0], ok_response);
    EXPECT_EQ(status_of(client.receive_message()), 200) << i;
    publish(watch,
            endpoint_list(i + 1, false, {endpoint_entry(i, proxy.upstreams[0].address(), "active", i)}));
    EXPECT_TRUE(upstream.wait_for_end()) << i;
    // A late entry of the one before, with an older start, changes nothing.
    if (i % 2 == 0)
      publish(watch, endpoint_list(i + 1, false,
                                   {endpoint_entry(i - 1, proxy.upstreams[0].address(), "leaving", i - 1)}));
  }
  EXPECT_LT(proxy.descriptor_count(), 24);
}

TEST(UpstreamConnections, RetriesElsewhereWhenConnectingTimesOut) {
  UnresponsiveHost gone;
  ListeningSocket other;
  ProxyProcess proxy(
      {.settings = R"(,"limits":{"dial_timeout_ms":100.0})"},
      endpoint_list(1, true,
                    {endpoint_entry(0, gone.listener.address()), endpoint_entry(1, other.address())}));
  for (int i = 0; i < 4; ++i) {
    auto client = proxy.connect();
    client.send(http_request("/pay"));
    auto upstream = accept_and_respond(other, ok_and_close);
    EXPECT_EQ(status_of(client.receive_message()), 200);
  }
}

// A drain's grace may end before connecting times out.
TEST(UpstreamConnections, RetriesElsewhereOnDrainDuringConnect) {
  UnresponsiveHost gone;
  ListeningSocket other;
  ProxyProcess proxy({.settings = R"(,"limits":{"dial_timeout_ms":3600000.0})"},
                     endpoint_list(1, true, {endpoint_entry(0, gone.listener.address())}));
  auto watch = accept_watch(proxy.discovery);
  auto client = proxy.connect();
  client.send(http_request("/pay"));
  publish(watch, endpoint_list(2, false, {endpoint_entry(1, other.address())}));
  publish(watch, endpoint_list(3, false, {endpoint_entry(0, gone.listener.address(), "leaving")}));
  auto upstream = accept_and_respond(other, ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
}

// More requests wait for a server than may connect at a time: each gets its connection, and none times out.
TEST(UpstreamConnections, ConnectsForAllThatWaitBeyondTheConcurrentLimit) {
  // A deeper tier, where nothing is rejected for lack of capacity.
  ProxyProcess proxy({.upstreams = 1, .settings = R"(,"stage":1,"stages":["front","back"])"});
  constexpr int count = 14;
  std::vector<TcpConnection> clients, connections;
  for (int i = 0; i < count; ++i) clients.push_back(proxy.connect());
  EXPECT_EQ(proxy.get_status("/-/ready"), 200);
  proxy.pause();
  for (auto& client : clients) client.send(http_request("/pay"));
  proxy.resume();
  for (int i = 0; i < count; ++i) {
    connections.push_back(proxy.upstreams[0].accept());
    connections.back().receive_message();
  }
  for (auto& upstream : connections) upstream.send(ok_response);
  for (auto& client : clients) EXPECT_EQ(status_of(client.receive_message()), 200);
}

}  // namespace
}  // namespace meadowgauge::test
