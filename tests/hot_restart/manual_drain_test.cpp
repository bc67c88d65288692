// Manual drains: the stored set, the policy without sockets, and the running program with the test as
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

TEST(ManualDrainFiles, AreStoredWholeAndDamagedFilesAreRefused) {
  using hot_restart::TextError;
  std::set<std::string> names{"a", "b"};
  auto text = hot_restart::encode_drains(names);
  auto decoded = hot_restart::decode_drains(text);
  ASSERT_TRUE(std::holds_alternative<std::set<std::string>>(decoded));
  EXPECT_EQ(std::get<std::set<std::string>>(decoded), names);
  for (std::size_t n = 0; n < text.size(); ++n)
    EXPECT_TRUE(std::holds_alternative<TextError>(hot_restart::decode_drains(text.substr(0, n)))) << n;
  for (std::size_t n = 0; n < text.size(); ++n) {
    auto other = text;
    other[n] = static_cast<char>(other[n] ^ 1);
    EXPECT_TRUE(std::holds_alternative<TextError>(hot_restart::decode_drains(other))) << n;
  }
}

TEST(ManualDrainFiles, AreSharedByAllProcesses) {
  TemporaryDirectory directory;
  hot_restart::StateDirectory state(directory.path(), "n0");
  hot_restart::ManualDrainFile a(state, {}), b(state, {});
  EXPECT_TRUE(a.set_drained("s1", true));
  EXPECT_TRUE(b.set_drained("s2", true));  // reads the other process's set before it writes
  EXPECT_TRUE(a.refresh());
  EXPECT_EQ(a.names(), (std::set<std::string>{"s1", "s2"}));
  EXPECT_FALSE(a.refresh());
  std::ofstream(state.path_of("outs")) << "torn";
  EXPECT_FALSE(a.refresh());
  EXPECT_EQ(a.names().size(), 2U);
  hot_restart::ManualDrainFile alone(hot_restart::StateDirectory(), {});
  EXPECT_TRUE(alone.set_drained("s1", true));
  EXPECT_FALSE(alone.refresh());
}

TEST(ManualDrainFiles, DamagedFileIsLoggedWithItsReason) {
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

// No decision sends anything to a drained server.
TEST(ManualDrain, SendsNothingWhateverIsListedUntilItEnds) {
  PolicyHarness w({}, 2, 5);
  w.policy.set_manual_drain(EndpointIndex{0}, true, w.now_ms);
  for (int i = 0; i < 20; ++i) w.end(w.submit(0, 5000), 0, i % 2 ? Outcome::succeeded : Outcome::timeout);
  EXPECT_EQ(w.sends[0], 0);
  for (auto& e : w.entries) e.manually_drained = e.endpoint == EndpointIndex{0};
  w.entries[0].up_since_ms = w.now_ms;
  w.update_endpoints(EndpointListUpdate::full, w.entries);
  w.entries[1].state = EndpointState::draining;
  w.update_endpoints(EndpointListUpdate::full, w.entries);
  int id = w.submit(0, 5000);
  EXPECT_EQ(w.finals.at(id), Decision::reject);  // all are drained: rejected at once
  EXPECT_EQ(w.sends[0], 0);
  EXPECT_EQ(w.policy.unavailable_endpoints(w.now_ms), 1);
  w.entries[1].state = EndpointState::ready;
  w.entries[0].manually_drained = false;
  w.policy.set_manual_drain(EndpointIndex{0}, false, w.now_ms);
  w.update_endpoints(EndpointListUpdate::full, w.entries);
  w.submit(0, 5000);
  EXPECT_EQ(w.sends[0], 1) << "the next request tries it";
  EXPECT_EQ(w.policy.unavailable_endpoints(w.now_ms), 0);
}

TEST(ManualDrain, IsFollowedBySlowStartWithoutARestart) {
  PolicyHarness w({}, 2, 5);
  w.policy.set_manual_drain(EndpointIndex{0}, true, w.now_ms);
  w.pass(3000);
  w.policy.set_manual_drain(EndpointIndex{0}, false, w.now_ms);
  for (int i = 0; i < 10; ++i) w.submit(0, 5000);
  EXPECT_LE(w.sends[0], 2);
  EXPECT_GE(w.sends[0], 1);
}

TEST(ManualDrain, SendsNothingAndTriesTheServerAfterwards) {
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

TEST(ManualDrain, HoldsForTheServerUnderAnotherName) {
  ProxyProcess proxy({.upstreams = 2, .admin_server = true});
  auto watch = accept_watch(proxy.discovery);
  EXPECT_EQ(proxy.admin_reply("OFFLINE s0\n"), "ok\n");
  auto at = proxy.upstreams[0].address();
  publish(watch,
          endpoint_list(2, true, {endpoint_entry(7, at), endpoint_entry(1, proxy.upstreams[1].address())}));
  while (proxy.admin_reply("ONLINE s7\n") != "ok\n") {  // until the list is read
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

TEST(ManualDrain, HoldsOverARestartOfTheBalancer) {
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
