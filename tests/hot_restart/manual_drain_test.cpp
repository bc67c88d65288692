// Tests manual drains: the stored set, the policy without sockets, and the running program, with the test as
// operators, clients, upstreams and discovery over loopback.
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fixtures/discovery_stand_in.hpp"
#include "fixtures/http_messages.hpp"
#include "fixtures/policy_harness.hpp"
#include "fixtures/proxy_process.hpp"
#include "fixtures/temporary_directory.hpp"
#include "fixtures/upgrade_pair.hpp"
#include "hot_restart/manual_drain_file.hpp"

namespace meadowgauge::test {
namespace {

// Every truncation and every flipped bit must be detected: a damaged file must not undrain a server.
TEST(ManualDrainFiles, AreRejectedWhenDamaged) {
  using hot_restart::TextError;
  std::set<std::string> names{"a", "b"};
  auto text = hot_restart::encode_drains(names);
  auto decoded = hot_restart::decode_drains(text);
  ASSERT_TRUE(std::holds_alternative<std::set<std::string>>(decoded));
  EXPECT_EQ(std::get<std::set<std::string>>(decoded), names);
  for (std::size_t position = 0; position < text.size(); ++position)
    EXPECT_TRUE(std::holds_alternative<TextError>(hot_restart::decode_drains(text.substr(0, position))))
        << position;
  for (std::size_t position = 0; position < text.size(); ++position) {
    auto other = text;
    other[position] = static_cast<char>(other[position] ^ 1);
    EXPECT_TRUE(std::holds_alternative<TextError>(hot_restart::decode_drains(other))) << position;
  }
}

// A process must neither overwrite the drains of another one nor lose its own to a damaged file.
TEST(ManualDrainFiles, AreSharedByAllProcesses) {
  TemporaryDirectory directory;
  hot_restart::StateDirectory state(directory.path(), "n0");
  hot_restart::ManualDrainFile first(state, {}), second(state, {});
  EXPECT_TRUE(first.set_drained("s1", true));
  EXPECT_TRUE(second.set_drained("s2", true));  // must keep the other process's drain
  EXPECT_TRUE(first.refresh());
  EXPECT_EQ(first.names(), (std::set<std::string>{"s1", "s2"}));
  EXPECT_FALSE(first.refresh());
  std::ofstream(state.path_of("outs")) << "torn";
  EXPECT_FALSE(first.refresh());
  EXPECT_EQ(first.names().size(), 2U);
  hot_restart::ManualDrainFile alone(hot_restart::StateDirectory(), {});
  EXPECT_TRUE(alone.set_drained("s1", true));
  EXPECT_FALSE(alone.refresh());
}

TEST(ManualDrainFiles, DamagedFileIsLoggedWithReason) {
  TemporaryDirectory directory;
  hot_restart::StateDirectory state(directory.path(), "n0");
  std::vector<std::string> lines;
  proxy::Logger log(proxy::Level::warning,
                    [&](proxy::Level, std::string_view line, std::span<const proxy::LogField>) {
                      lines.emplace_back(line);
                    });
  hot_restart::ManualDrainFile drains(state, log);
  EXPECT_TRUE(drains.set_drained("s1", true));
  std::ofstream(state.path_of("outs")) << "torn";
  EXPECT_FALSE(drains.refresh());
  EXPECT_FALSE(drains.refresh());  // logged once for each change of the file
  EXPECT_EQ(lines, std::vector{"manual drain file ignored: " + state.path_of("outs") + ": wrong header"});
}

// No request may go to a drained server, whatever the endpoint lists contain and whatever attempts fail.
TEST(ManualDrain, HoldsAcrossEndpointListUpdates) {
  PolicyHarness harness({}, 2, 5);
  harness.policy.set_manual_drain(EndpointIndex{0}, true, harness.now_ms);
  for (int i = 0; i < 20; ++i)
    harness.end(harness.submit(0, 5000), 0, i % 2 ? Outcome::succeeded : Outcome::timeout);
  EXPECT_EQ(harness.sends[0], 0);
  for (auto& entry : harness.entries) entry.manually_drained = entry.endpoint == EndpointIndex{0};
  harness.entries[0].up_since_ms = harness.now_ms;
  harness.update_endpoints(EndpointListUpdate::full, harness.entries);
  harness.entries[1].state = EndpointState::draining;
  harness.update_endpoints(EndpointListUpdate::full, harness.entries);
  int id = harness.submit(0, 5000);
  EXPECT_EQ(harness.finals.at(id), Decision::reject);  // rejected at once, as all are drained
  EXPECT_EQ(harness.sends[0], 0);
  EXPECT_EQ(harness.policy.unavailable_endpoints(harness.now_ms), 1);
  harness.entries[1].state = EndpointState::ready;
  harness.entries[0].manually_drained = false;
  harness.policy.set_manual_drain(EndpointIndex{0}, false, harness.now_ms);
  harness.update_endpoints(EndpointListUpdate::full, harness.entries);
  harness.submit(0, 5000);
  EXPECT_EQ(harness.sends[0], 1) << "the next request must try the undrained server";
  EXPECT_EQ(harness.policy.unavailable_endpoints(harness.now_ms), 0);
}

// Slow start must follow a drain even if the server has not restarted: it must not get its full share at
// once.
TEST(ManualDrain, IsFollowedBySlowStartWithoutARestart) {
  PolicyHarness harness({}, 2, 5);
  harness.policy.set_manual_drain(EndpointIndex{0}, true, harness.now_ms);
  harness.pass(3000);
  harness.policy.set_manual_drain(EndpointIndex{0}, false, harness.now_ms);
  for (int i = 0; i < 10; ++i) harness.submit(0, 5000);
  EXPECT_LE(harness.sends[0], 2);
  EXPECT_GE(harness.sends[0], 1);
}

TEST(ManualDrain, SendsNoRequestsUntilItEnds) {
  ProxyProcess proxy({.upstreams = 2, .admin_server = true});
  EXPECT_EQ(proxy.admin_reply("OFFLINE s0\n"), "ok\n");
  EXPECT_EQ(proxy.admin_reply("OFFLINE s0\n"), "ok\n");
  EXPECT_EQ(proxy.metric("hosts_down"), 1);
  EXPECT_EQ(proxy.metric("hosts_listed"), 2);
  auto client = proxy.connect();
  TcpConnection upstream;
  for (int i = 0; i < 6; ++i) {
    client.send(http_request("/pay"));
    if (i == 0) upstream = proxy.upstreams[1].accept();
    upstream.receive_message();
    upstream.send(ok_response);
    EXPECT_EQ(status_of(client.receive_message()), 200);
  }
  EXPECT_FALSE(proxy.upstreams[0].has_pending_connection());
  EXPECT_EQ(proxy.admin_reply("OFFLINE s1\n"), "ok\n");
  client.send(http_request("/pay"));
  EXPECT_EQ(status_of(client.receive_message()), 503);
  EXPECT_EQ(proxy.admin_reply("ONLINE s0\n"), "ok\n");
  client.send(http_request("/pay"));
  auto back = accept_and_respond(proxy.upstreams[0], ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
  EXPECT_EQ(proxy.metric("hosts_down"), 1);
}

// Discovery may list a drained server under another name: the drain applies to its address.
TEST(ManualDrain, HoldsForTheServerUnderAnotherName) {
  ProxyProcess proxy({.upstreams = 2, .admin_server = true});
  auto watch = accept_watch(proxy.discovery);
  EXPECT_EQ(proxy.admin_reply("OFFLINE s0\n"), "ok\n");
  auto at = proxy.upstreams[0].address();
  publish(watch,
          endpoint_list(2, true, {endpoint_entry(7, at), endpoint_entry(1, proxy.upstreams[1].address())}));
  while (proxy.admin_reply("ONLINE s7\n") != "ok\n") {  // until the new list is applied
  }
  auto client = proxy.connect();
  TcpConnection upstream;
  for (int i = 0; i < 4; ++i) {
    client.send(http_request("/pay"));
    if (i == 0) upstream = proxy.upstreams[1].accept();
    upstream.receive_message();
    upstream.send(ok_response);
    client.receive_message();
  }
  EXPECT_FALSE(proxy.upstreams[0].has_pending_connection());
  EXPECT_EQ(proxy.metric("hosts_down"), 1);
  EXPECT_EQ(proxy.admin_reply("ONLINE s0\n"), "ok\n");
  client.send("GET /view HTTP/1.1\r\nHost: b\r\nX-Call-Id: back\r\nX-Budget-Ms: 9000\r\n\r\n");
  auto back = accept_and_respond(proxy.upstreams[0], ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
}

// A drain must not be lost when the balancer crashes and starts again.
TEST(ManualDrain, SurvivesARestartOfTheBalancer) {
  UpgradePair pair;
  EXPECT_EQ(pair.old.admin_reply("OFFLINE s0\n"), "ok\n");
  kill(pair.old.pid(), SIGKILL);
  pair.old.exit_status();
  pair.start_next();
  auto client = pair.next->connect();
  client.send(http_request("/pay"));
  EXPECT_EQ(status_of(client.receive_message()), 503);
  EXPECT_EQ(pair.next->admin_reply("ONLINE s0\n"), "ok\n");
  client.send(http_request("/pay"));
  auto upstream = accept_and_respond(pair.upstream, ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
}

}  // namespace
}  // namespace meadowgauge::test
