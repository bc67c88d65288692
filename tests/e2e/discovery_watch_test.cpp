// The running program's watch on discovery: drains, older lists, lost connections, and a reload that changes
// the discovery address. The test acts as discovery, the clients and the upstreams over loopback.
#include <gtest/gtest.h>

#include <string>

#include "fixtures/discovery_stand_in.hpp"
#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_process.hpp"

namespace meadowgauge::test {
namespace {

// Sends six requests and expects the second upstream to get all of them.
void expect_all_go_to_the_second(const ProxyProcess& proxy) {
  for (int i = 0; i < 6; ++i) {
    auto client = proxy.connect();
    client.send(http_request("/pay"));
    auto upstream = accept_and_respond(proxy.upstreams[1], ok_and_close);
    EXPECT_EQ(status_of(client.receive_message()), 200);
  }
  EXPECT_FALSE(proxy.upstreams[0].has_pending_connection());
}

// Guards against a drain that is missed after a keep-alive line, a truncated line and an unreadable entry.
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

// Guards against an older list that arrives late and cancels a drain.
TEST(DiscoveryWatch, KeepsADrainWhenAnOlderListArrives) {
  ProxyProcess proxy;
  auto watch = accept_watch(proxy.discovery);
  std::string first_entry = endpoint_entry(0, proxy.upstreams[0].address()),
              second_entry = endpoint_entry(1, proxy.upstreams[1].address());
  publish(watch,
          endpoint_list(7, true, {endpoint_entry(0, proxy.upstreams[0].address(), "leaving"), second_entry}));
  publish(watch, endpoint_list(5, true, {first_entry, second_entry}));
  publish(watch, endpoint_list(6, false, {first_entry}));
  proxy.wait_for_log("list 6 is older than 7");
  expect_all_go_to_the_second(proxy);
}

// Guards against dropping the endpoint list with the connection to discovery, and against a watch that does
// not continue after the last version.
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
  std::string resumed_request;
  auto watch = accept_watch(proxy.discovery, &resumed_request);
  EXPECT_TRUE(resumed_request.starts_with("GET /api/targets?watch=1&after=7 ")) << resumed_request;
}

// Guards against a reload that loses the endpoint list or requests in flight, and against a new discovery
// agent that is not asked for its complete list.
TEST(DiscoveryWatch, MovesOnReloadWhileInFlightRequestsAreAnswered) {
  ProxyProcess proxy({.upstreams = 1});
  auto old_watch = accept_watch(proxy.discovery);
  publish(old_watch, endpoint_list(7, true, {endpoint_entry(0, proxy.upstreams[0].address())}));
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
  EXPECT_TRUE(old_watch.wait_for_end());
  auto watch = next.accept();
  EXPECT_TRUE(watch.receive_message().starts_with("GET /api/targets HTTP/1.1"));
  ListeningSocket other;
  // A list larger than the buffer for a request's body. The new agent has its own versions, and its complete
  // list removes the endpoints that it does not name.
  watch.send(http_message("HTTP/1.1 200 OK", endpoint_list(3, true, {endpoint_entry(1, other.address())}) +
                                                 std::string(70000, ' ')));
  EXPECT_TRUE(watch.receive_message().starts_with("GET /api/targets?watch=1&after=3 "));
  upstream.send(ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
  client.send(http_request("/pay"));
  auto new_upstream = accept_and_respond(other, ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
  // The program asks an agent that does not respond again. SIGTERM during a reload ends the process.
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
