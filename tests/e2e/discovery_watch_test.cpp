// The running program's watch on discovery: drains, older lists, lost connections, a reload that moves it.
// The test plays discovery, the clients and the upstreams over loopback.
#include <gtest/gtest.h>

#include <string>

#include "fixtures/discovery_stand_in.hpp"
#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_process.hpp"

namespace meadowgauge::test {
namespace {

void expect_all_go_to_the_second(const ProxyProcess& proxy) {
  for (int i = 0; i < 6; ++i) {
    auto client = proxy.connect();
    client.send(http_request("/pay"));
    auto upstream = accept_and_respond(proxy.upstreams[1], ok_and_close);
    EXPECT_EQ(status_of(client.receive_message()), 200);
  }
  EXPECT_FALSE(proxy.upstreams[0].has_pending_connection());
}

TEST(DiscoveryWatch, SendsNothingNewToADrainingUpstream) {
  ProxyProcess proxy;
  auto watch = accept_watch(proxy.discovery);
  publish(watch, "");
  publish(watch, "{\"seq\":\n");  // truncated
  publish(watch, R"({"seq":2,"whole":false,"hosts":[{"host":"x","dial":"1.2.3.4:5","health":"odd"},)" +
                     endpoint_entry(0, proxy.upstreams[0].address(), "leaving") + "]}");
  proxy.wait_for_log("x: unknown health 'odd'");
  expect_all_go_to_the_second(proxy);
}

// A list may be delayed until after the drain.
TEST(DiscoveryWatch, KeepsADrainWhenAnOlderListArrives) {
  ProxyProcess proxy;
  auto watch = accept_watch(proxy.discovery);
  std::string x = endpoint_entry(0, proxy.upstreams[0].address()),
              y = endpoint_entry(1, proxy.upstreams[1].address());
  publish(watch, endpoint_list(7, true, {endpoint_entry(0, proxy.upstreams[0].address(), "leaving"), y}));
  publish(watch, endpoint_list(5, true, {x, y}));
  publish(watch, endpoint_list(6, false, {x}));
  proxy.wait_for_log("list 6 is older than 7");
  expect_all_go_to_the_second(proxy);
}

TEST(DiscoveryWatch, KeepsTheListWhileDiscoveryIsLostAndResumes) {
  ProxyProcess proxy({.upstreams = 1});
  {
    auto watch = accept_watch(proxy.discovery);
    publish(watch, endpoint_list(7, true, {endpoint_entry(0, proxy.upstreams[0].address())}));
  }
  auto client = proxy.connect();
  client.send(http_request("/pay"));
  auto upstream = accept_and_respond(proxy.upstreams[0], ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
  std::string again;
  auto watch = accept_watch(proxy.discovery, &again);
  EXPECT_TRUE(again.starts_with("GET /api/targets?watch=1&after=7 ")) << again;
}

// The list and the requests in flight are kept, and the new agent is asked for the whole list.
TEST(DiscoveryWatch, MovesOnReloadWhileInFlightRequestsAreAnswered) {
  ProxyProcess proxy({.upstreams = 1});
  auto old = accept_watch(proxy.discovery);
  publish(old, endpoint_list(7, true, {endpoint_entry(0, proxy.upstreams[0].address())}));
  auto client = proxy.connect();
  client.send(http_request("/pay"));
  auto upstream = proxy.upstreams[0].accept();
  upstream.receive_message();
  for (std::string bad : {"", "{", R"({"settings":{}, "discovery":"nowhere"})"}) {
    proxy.write_config(bad);
    proxy.reload();
    proxy.wait_for_log("reload failed, configuration unchanged");
  }
  ListeningSocket next;
  proxy.reload_with_discovery(next.address());
  EXPECT_TRUE(old.wait_for_end());
  auto watch = next.accept();
  EXPECT_TRUE(watch.receive_message().starts_with("GET /api/targets HTTP/1.1"));
  ListeningSocket other;
  // Larger than a request's body may be; its versions are its own, and what it does not name is gone.
  watch.send(http_message("HTTP/1.1 200 OK", endpoint_list(3, true, {endpoint_entry(1, other.address())}) +
                                                 std::string(70000, ' ')));
  EXPECT_TRUE(watch.receive_message().starts_with("GET /api/targets?watch=1&after=3 "));
  upstream.send(ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
  client.send(http_request("/pay"));
  auto there = accept_and_respond(other, ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
  // An agent that does not respond is asked again; SIGTERM during a reload ends the process.
  proxy.reload_with_discovery(proxy.discovery.address());
  auto silent = proxy.discovery.accept();
  silent.receive_message();
  EXPECT_TRUE(proxy.discovery.accept().receive_message().starts_with("GET /api/targets HTTP/1.1"));
  proxy.terminate();
  client.close();
  EXPECT_EQ(proxy.exit_status(), 0);
}

}  // namespace
}  // namespace meadowgauge::test
