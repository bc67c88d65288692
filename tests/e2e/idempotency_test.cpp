// Idempotency keys over loopback: the running program, and a server whose zone in the endpoint list changes
// while an attempt waits for a connection to it. The tests check what servers and clients receive.
#include <gtest/gtest.h>

#include <string>

#include "fixtures/discovery_stand_in.hpp"
#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_process.hpp"

namespace meadowgauge::test {
namespace {

// The servers of a zone remember keys for longer than a test takes.
const std::string keyed_by_zone =
    R"(,"zones":["a","b"],"path_prefixes":[{"name":"book","repeat":"deduplicated","group":"zone",)"
    R"("key_ttl_ms":60000.0,"client_timeout_ms":9000.0,"earnings":1.0}])";

std::string keyed_request() {
  return http_message(
      "POST /book HTTP/1.1\r\nHost: b\r\nX-Call-Id: k1\r\nX-Caller: acme\r\nX-Budget-Ms: 9000\r\n"
      "Idempotency-Key: 5c0f6e1a",
      "the body");
}

std::string endpoint_entry_in(const std::string& zone, int number, const std::string& dial_address) {
  auto text = endpoint_entry(number, dial_address);
  return text.replace(text.find(R"("site":"a")"), 10, R"("site":")" + zone + R"(")");
}

// Publishes a change of `entry` on the open watch, and waits until the program has read it.
void publish_and_wait(ProxyProcess& proxy, const TcpConnection& watch, int version,
                      const std::string& entry) {
  publish(watch, endpoint_list(version, false, {entry, marker_entry}));
  proxy.wait_for_log(marker_log);
}

// Guards against a request that executes twice. The first attempt may have executed in zone a. The retry
// waits for a connection to a server of zone a, and a list moves this server to zone b, whose servers do not
// know the keys of zone a, before the connection is established.
TEST(Idempotency, QueuedAttemptSkipsServerThatLeftItsGroup) {
  for (const std::string zone : {"b", "a"}) {
    UnresponsiveHost unresponsive_host;
    ProxyProcess proxy({.upstreams = 1, .settings = keyed_by_zone});
    auto watch = accept_watch(proxy.discovery);
    auto client = proxy.connect();
    client.send(keyed_request());
    auto first = proxy.upstreams[0].accept();
    first.receive_message();
    publish_and_wait(proxy, watch, 2, endpoint_entry_in("a", 1, unresponsive_host.listener.address()));
    first.reset();
    EXPECT_EQ(proxy.get_status("/-/ready"), 200);  // the program has read the reset
    publish_and_wait(proxy, watch, 3, endpoint_entry_in(zone, 1, unresponsive_host.listener.address()));
    auto occupant = unresponsive_host.listener.accept();  // the next SYN is accepted now
    auto late = unresponsive_host.listener.accept();
    if (zone == "a") {  // the zone is unchanged, so the server knows the key
      EXPECT_NE(late.receive_message().find("Idempotency-Key: 5c0f6e1a"), std::string::npos);
      late.send(ok_response);
      EXPECT_EQ(status_of(client.receive_message()), 200);
      continue;
    }
    // The request failed at once. It is not rejected, because it may have executed.
    EXPECT_EQ(status_of(client.receive_message()), 502);
    EXPECT_TRUE(late.quiet());
  }
}

// Guards against a duplicate that cannot be traced in the log: the log has the reason for which a retry was
// allowed, and the time at which the last byte of each attempt was sent.
TEST(Idempotency, LogsTheReasonAndTheLastByteOfARetry) {
  ProxyProcess proxy({.upstreams = 1, .settings = keyed_by_zone, .log_level = "debug"});
  auto client = proxy.connect();
  client.send(keyed_request());
  auto first = proxy.upstreams[0].accept();
  first.receive_message();
  first.reset();
  EXPECT_NE(proxy.wait_for_log("request k1: attempt 0 sent to s0").find("to the last byte"),
            std::string::npos);
  EXPECT_NE(
      proxy.wait_for_log("request k1: attempt 1 to s0 allowed: ").find("key_window, group zone (zone 0"),
      std::string::npos);
  proxy.wait_for_log("request k1: attempt 1 sent to s0");
}

}  // namespace
}  // namespace meadowgauge::test
