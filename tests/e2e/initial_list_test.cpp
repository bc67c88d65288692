// The start of a process that polls discovery: its configured list may name endpoints that drained or left
// long ago. The tests check what the upstreams receive.
#include <gtest/gtest.h>

#include <string>

#include "fixtures/discovery_stand_in.hpp"
#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_process.hpp"
#include "fixtures/waiting.hpp"

namespace meadowgauge::test {
namespace {

const std::string polled_lists = R"(,"discovery":"subscribe")";

// Sends a request on a new connection and returns the status of its response.
int status_of_request(const ProxyProcess& proxy) {
  auto client = proxy.connect();
  client.send(http_request("/pay"));
  return status_of(client.receive_message());
}

// Guards against requests to endpoints that drained or left while the process was down.
TEST(InitialEndpointList, NoRequestIsSentBeforeTheFirstList) {
  ProxyProcess proxy({.upstreams = 2, .settings = polled_lists});
  auto call = proxy.discovery.accept();
  EXPECT_EQ(proxy.get_status("/-/ready"), 503);
  auto client = proxy.connect();
  client.send(http_request("/pay"));
  auto rejection = client.receive_message();
  EXPECT_EQ(status_of(rejection), 503);
  EXPECT_NE(rejection.find("Retry-After: "), std::string::npos);
  call.receive_message();
  call.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  publish(call, endpoint_list(9, true, {endpoint_entry(1, proxy.upstreams[1].address())}));
  proxy.wait_for_log("initial endpoint list: awaited -> received");
  EXPECT_EQ(proxy.get_status("/-/ready"), 200);
  client.send(http_request("/pay"));  // on the connection of the rejected request
  auto upstream = accept_and_respond(proxy.upstreams[1], ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
  EXPECT_FALSE(proxy.upstreams[0].has_pending_connection());
}

// Guards against using the configured list while discovery is overloaded: discovery responds with 503, so the
// lists that it has published are binding.
TEST(InitialEndpointList, RejectsRequestsWhileDiscoveryRefusesCalls) {
  ProxyProcess proxy({.upstreams = 1, .settings = polled_lists});
  for (int i = 0; i < 2; ++i) {
    auto call = proxy.discovery.accept();
    call.receive_message();
    call.send(http_message("HTTP/1.1 503 Service Unavailable", ""));
    EXPECT_EQ(status_of_request(proxy), 503);
  }
  EXPECT_EQ(proxy.get_status("/-/ready"), 503);
  EXPECT_FALSE(proxy.upstreams[0].has_pending_connection());
}

// Guards against rejecting requests while discovery is down: the lists that it publishes are binding only
// after it returns, so the configured list is used until then.
TEST(InitialEndpointList, ServesWhileDiscoveryIsUnreachable) {
  ProxyProcess proxy({.upstreams = 1, .settings = polled_lists});
  auto call = proxy.discovery.accept();  // discovery does not respond
  proxy.wait_for_log("initial endpoint list: awaited -> unreachable");
  EXPECT_EQ(proxy.get_status("/-/ready"), 200);
  auto client = proxy.connect();
  client.send(http_request("/pay"));
  auto upstream = accept_and_respond(proxy.upstreams[0], ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
}

}  // namespace
}  // namespace meadowgauge::test
