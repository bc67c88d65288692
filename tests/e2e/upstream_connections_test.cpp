// Upstream connections of the running program: which idle connections are reused, closed or avoided, and what
// happens to requests that wait for a connection. The test acts as the clients, the upstreams and discovery
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

// Guards against reusing connections to a process that has left or has been replaced.
TEST(UpstreamConnections, DropsIdleOnesWhenTheUpstreamDepartsOrRestarts) {
  ProxyProcess proxy({.upstreams = 1});
  auto watch = accept_watch(proxy.discovery);
  int version = 1;
  for (std::string health : {"left", "active"}) {
    auto client = proxy.connect();
    client.send(http_request("/pay"));
    auto upstream = accept_and_respond(proxy.upstreams[0], ok_response);
    EXPECT_EQ(status_of(client.receive_message()), 200);
    publish(watch, endpoint_list(++version, false,
                                 {endpoint_entry(0, proxy.upstreams[0].address(), health,
                                                 health == "left" ? 0 : 1e12)}));
    EXPECT_TRUE(upstream.wait_for_end());
    publish(watch,
            endpoint_list(++version, false, {endpoint_entry(0, proxy.upstreams[0].address(), "active", 0)}));
    publish(watch, endpoint_list(++version, false, {marker_entry}));
    proxy.wait_for_log(marker_log);  // the program has read the lines before
  }
}

// Guards against sending a request on an idle connection that the upstream is closing.
TEST(UpstreamConnections, ClosesIdleOnesBeforeTheUpstreamWould) {
  ProxyProcess proxy(
      {.upstreams = 1, .settings = R"(,"limits":{"conn_idle_ms":300.0,"max_backend_fetches":3})"});
  auto client = proxy.connect();
  client.send(http_request("/pay"));
  auto upstream = accept_and_respond(proxy.upstreams[0], ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
  EXPECT_TRUE(upstream.wait_for_end());
}

// Guards against reusing connections that were lost without a FIN, which the next write resets once the peer
// is back: a request timeout without other traffic closes the idle connections to that upstream.
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

// Guards against taking late bytes after a response as the response to the next request.
TEST(UpstreamConnections, ReusesAConnectionOnlyAfterItsSettleTime) {
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

// Guards against reusing a connection whose FIN was lost: once several servers have closed idle connections,
// other connections of a similar age are not reused.
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
    connections.push_back(accept_and_respond(listener, ok_response));  // each upstream gets a new connection
  EXPECT_TRUE(connections[5].quiet());
}

// Guards against connections that are kept after their server was replaced: new servers keep appearing at the
// address of a server that the list still has.
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
    // A late entry of the previous server, with an older start time, has no effect.
    if (i % 2 == 0)
      publish(watch, endpoint_list(i + 1, false,
                                   {endpoint_entry(i - 1, proxy.upstreams[0].address(), "leaving", i - 1)}));
  }
  EXPECT_LT(proxy.descriptor_count(), 24);
}

// Guards against failing a request whose server does not respond to connection attempts.
TEST(UpstreamConnections, RetriesElsewhereWhenConnectingTimesOut) {
  UnresponsiveHost unresponsive_host;
  ListeningSocket other;
  ProxyProcess proxy({.settings = R"(,"limits":{"dial_timeout_ms":100.0})"},
                     endpoint_list(1, true,
                                   {endpoint_entry(0, unresponsive_host.listener.address()),
                                    endpoint_entry(1, other.address())}));
  for (int i = 0; i < 4; ++i) {
    auto client = proxy.connect();
    client.send(http_request("/pay"));
    auto upstream = accept_and_respond(other, ok_and_close);
    EXPECT_EQ(status_of(client.receive_message()), 200);
  }
}

// Guards against waiting for the dial timeout when the grace time of a drain ends before it.
TEST(UpstreamConnections, RetriesElsewhereOnDrainDuringConnect) {
  UnresponsiveHost unresponsive_host;
  ListeningSocket other;
  ProxyProcess proxy({.settings = R"(,"limits":{"dial_timeout_ms":3600000.0})"},
                     endpoint_list(1, true, {endpoint_entry(0, unresponsive_host.listener.address())}));
  auto watch = accept_watch(proxy.discovery);
  auto client = proxy.connect();
  client.send(http_request("/pay"));
  publish(watch, endpoint_list(2, false, {endpoint_entry(1, other.address())}));
  publish(watch,
          endpoint_list(3, false, {endpoint_entry(0, unresponsive_host.listener.address(), "leaving")}));
  auto upstream = accept_and_respond(other, ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
}

// Guards against requests that are forgotten while they wait: more requests wait for a server than may dial
// at a time, and each must get a connection before its timeout.
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
