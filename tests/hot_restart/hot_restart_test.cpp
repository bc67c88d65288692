// Tests hot restart, in which a new process takes over from a running one: first the shared files and the
// learned state without processes, then running processes, with the test as clients and upstream over
// loopback.
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fixtures/http_messages.hpp"
#include "fixtures/policy_harness.hpp"
#include "fixtures/proxy_process.hpp"
#include "fixtures/temporary_directory.hpp"
#include "fixtures/upgrade_pair.hpp"
#include "hot_restart/handover_snapshot.hpp"
#include "hot_restart/instance_locks.hpp"

namespace meadowgauge::test {
namespace {

// A killed process and processes of another balancer must not be counted as peers.
TEST(InstanceLocks, CountOlderAndNewerProcessesUntilTheyExit) {
  TemporaryDirectory directory;
  hot_restart::StateDirectory state(directory.path(), "n0");
  auto first = std::make_unique<hot_restart::InstanceLocks>(state);
  EXPECT_EQ(first->scan().total(), 0);
  auto second = std::make_unique<hot_restart::InstanceLocks>(state);
  EXPECT_EQ(first->scan().newer, 1);
  EXPECT_FALSE(first->scan().newer_serves);
  second->mark_serving();
  EXPECT_TRUE(first->scan().newer_serves);
  EXPECT_EQ(second->scan().older, 1);
  hot_restart::InstanceLocks third(state);
  EXPECT_EQ(third.scan().older, 2);
  EXPECT_EQ(hot_restart::InstanceLocks(hot_restart::StateDirectory(directory.path(), "n1")).scan().total(), 0)
      << "a process of another balancer was counted";
  first.reset();
  EXPECT_EQ(second->scan().total(), 1);
  second.reset();
  EXPECT_EQ(third.scan().total(), 0);
  std::ofstream(state.path_of("seat.99")) << 'y';  // lock file of a killed process
  EXPECT_EQ(third.scan().total(), 0);
  EXPECT_EQ(hot_restart::InstanceLocks(hot_restart::StateDirectory()).scan().total(), 0);
}

// A truncated, outdated or future-dated snapshot must not be restored.
TEST(HandoverSnapshots, AreRejectedWhenTruncatedOrExpired) {
  LearnedState learned{{"calm", 12.5}, {"bench@s1", 1e12}};
  auto text = hot_restart::encode_snapshot(learned, 1000);
  auto decoded = hot_restart::decode_snapshot(text, 3000, 5000);
  ASSERT_TRUE(std::holds_alternative<LearnedState>(decoded));
  EXPECT_EQ(std::get<LearnedState>(decoded), learned);
  auto error_at = [&](std::string_view candidate, double now_ms) {
    auto result = hot_restart::decode_snapshot(candidate, now_ms, 5000);
    const auto* error = std::get_if<hot_restart::TextError>(&result);
    return error ? std::optional(error->kind) : std::nullopt;
  };
  EXPECT_EQ(error_at(text, 7000), hot_restart::TextError::Kind::expired);
  EXPECT_EQ(error_at(text, -9000), hot_restart::TextError::Kind::expired);
  for (std::size_t length = 0; length < text.size(); ++length)
    EXPECT_TRUE(error_at(text.substr(0, length), 3000)) << length;
}

// Endpoint 2 never responds, so it is ejected, and the successor must learn of the ejection.
TEST(LearnedState, IncludesEjectedEndpoints) {
  PolicyHarness harness({}, 4, 3);
  for (int i = 0; i < 110; ++i) {
    int sends_before = harness.sends[2];
    int id = harness.submit(1, 5000);
    harness.pass(40);
    if (harness.sends[2] == sends_before) harness.end(id, 0, Outcome::succeeded);
  }
  ASSERT_GT(harness.sends[2], 0);
  EXPECT_GT(harness.policy.learned_state(harness.now_ms)["bench@2"], harness.now_ms);
  EXPECT_FALSE(harness.policy.learned_state(harness.now_ms).contains("bench@1"));
}

// A successor must not send requests to an endpoint that its predecessor has ejected.
TEST(LearnedState, RestoresBaselineLatencyAndEjections) {
  PolicyHarness harness({}, 4, 3);
  for (int i = 0; i < 200; ++i) {
    int id = harness.submit(1, 5000);
    harness.pass(40);
    harness.end(id, 0, Outcome::succeeded);
  }
  auto learned = harness.policy.learned_state(harness.now_ms);
  ASSERT_GT(learned["calm"], 0);
  learned["bench@2"] = harness.now_ms + 5000;
  PolicyHarness next({}, 4, 4);
  next.now_ms = harness.now_ms;
  next.policy.restore(learned, next.now_ms);
  EXPECT_EQ(next.policy.learned_state(next.now_ms)["calm"], learned["calm"]);
  EXPECT_EQ(next.policy.unavailable_endpoints(next.now_ms), 1);
  for (int i = 0; i < 12; ++i) next.submit(1, 5000);
  EXPECT_EQ(next.sends[2], 0);
}

// A hot restart must neither break requests in flight nor refuse connections.
TEST(Upgrade, CompletesRequestsOfTheOldProcess) {
  UpgradePair pair;
  auto existing = pair.old.connect();
  existing.send(http_request("/pay"));
  auto upstream = pair.upstream.accept();
  upstream.receive_message();
  pair.start_next();
  EXPECT_TRUE(pair.next->admin_reply("HEALTH\n").starts_with("fail")) << "the new process must not serve yet";
  pair.wait_until_next_serves();
  EXPECT_EQ(pair.next->admin_reply("HEALTH\n"), "ok ready\n");
  for (int i = 0; i < 20; ++i) EXPECT_EQ(pair.old.get_status("/-/ready"), 200);
  auto later = pair.old.connect();
  later.send(http_request("/pay"));
  auto other = pair.upstream.accept();
  other.receive_message();
  EXPECT_EQ(pair.next->metric("inflight"), 1) << "new connections must go to the new process";
  pair.old.terminate();
  pair.old.wait_for_log("another process has taken over");
  upstream.send(ok_response);
  auto last = existing.receive_message();
  EXPECT_EQ(status_of(last), 200);
  EXPECT_NE(last.find("Connection: close"), last.npos);
  existing.close();
  EXPECT_EQ(pair.old.exit_status(), 0);
  other.send(ok_response);
  EXPECT_EQ(status_of(later.receive_message()), 200);
}

// A new process that crashes, before or after it serves, must not affect the old one.
TEST(Upgrade, KeepsServingWhenTheNewProcessFails) {
  UpgradePair pair;
  pair.start_next();
  kill(pair.next->pid(), SIGKILL);
  pair.next.reset();
  pair.start_next();
  pair.wait_until_next_serves();
  pair.next.reset();  // killed while it serves
  auto client = pair.old.connect();
  client.send(http_request("/pay"));
  auto upstream = accept_and_respond(pair.upstream, ok_response);
  auto response = client.receive_message();
  EXPECT_EQ(status_of(response), 200);
  EXPECT_EQ(response.find("Connection: close"), response.npos);
  EXPECT_EQ(pair.old.admin_reply("HEALTH\n"), "ok ready\n");
}

// The old process may be told to end before the new one serves; it must accept connections until then.
TEST(Upgrade, TakesOverWhenTheOldProcessEndsFirst) {
  UpgradePair pair;
  pair.start_next();
  pair.old.terminate();
  pair.old.wait_for_log("serving -> draining");
  EXPECT_EQ(pair.old.get_status("/-/ready"), 503);  // connections are still accepted
  pair.wait_until_next_serves();
  EXPECT_EQ(pair.old.exit_status(), 0);
  EXPECT_EQ(pair.next->get_status("/-/ready"), 200);
}

// A drain set through either process must apply in both, and remain after the old one has ended.
TEST(Upgrade, SharesManualDrainsBetweenBothProcesses) {
  UpgradePair pair;
  pair.start_next();
  pair.wait_until_next_serves();
  auto existing = pair.old.connect();
  EXPECT_EQ(pair.next->admin_reply("OFFLINE s0\n"), "ok\n");
  EXPECT_EQ(pair.old.metric("hosts_down"), 1);
  EXPECT_EQ(pair.old.admin_reply("ONLINE s0\n"), "ok\n");
  EXPECT_EQ(pair.old.admin_reply("OFFLINE s0\n"), "ok\n");
  EXPECT_EQ(pair.next->metric("hosts_down"), 1);
  pair.old.terminate();
  existing.close();
  EXPECT_EQ(pair.old.exit_status(), 0);
  auto client = pair.next->connect();
  client.send(http_request("/pay"));
  EXPECT_EQ(status_of(client.receive_message()), 503);
}

// The descriptor limit holds for both processes together, also if both reload during the takeover.
TEST(Upgrade, KeepsLimitsAcrossTwoUpgradesAndReloads) {
  UpgradePair pair;
  std::vector<TcpConnection> idle;
  auto fill = [&] {
    for (int i = 0; i < 60; ++i) idle.push_back(pair.old.connect());
  };
  fill();
  pair.start_next();
  pair.old.reload();
  pair.next->reload();
  pair.wait_until_next_serves();
  fill();
  EXPECT_EQ(pair.next->get_status("/-/ready"), 200);
  EXPECT_LE(pair.old.descriptor_count() + pair.next->descriptor_count(), 128);
  pair.old.terminate();
  EXPECT_EQ(pair.old.exit_status(), 0);
  auto third = pair.start_another();
  third->wait_for_log("listening beside");
  EXPECT_EQ(third->metric("hosts_listed"), 1);
  pair.next->terminate();
  EXPECT_EQ(pair.next->exit_status(), 0);
  auto client = third->connect();
  client.send(http_request("/pay"));
  auto upstream = accept_and_respond(pair.upstream, ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
}

// A new process must not wait for an old one that has crashed.
TEST(Upgrade, ServesImmediatelyWhenTheOldProcessIsKilled) {
  UpgradePair pair;
  pair.start_next();
  kill(pair.old.pid(), SIGKILL);
  pair.old.exit_status();
  pair.wait_until_next_serves();
  EXPECT_EQ(pair.next->get_status("/-/ready"), 200);
}

// A process told to end during its takeover has no requests to drain.
TEST(Upgrade, ExitsImmediatelyWhenItHasNeverServed) {
  UpgradePair pair;
  pair.start_next();
  kill(pair.old.pid(), SIGKILL);
  pair.old.exit_status();
  pair.wait_until_next_serves();
  auto third = pair.start_another();
  third->terminate();
  third->wait_for_log("it has not served yet");
  EXPECT_EQ(third->exit_status(), 0);
}

}  // namespace
}  // namespace meadowgauge::test
