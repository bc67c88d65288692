// Tests of the load estimator: probes, load reports and gossip.
#include <gtest/gtest.h>

#include <random>
#include <string>

#include "policy/policy_test_support.hpp"

namespace meadowgauge::test {
namespace {

// One of 400 balancers uses an endpoint once in half a minute, so that without probes its pick is no better
// than random.
TEST(Probes, SendEachRequestToTheLeastLoadedProbed) {
  PolicyHarness harness({}, 20, 5, probes_only);
  harness.probe_of = [](int endpoint) { return LoadReport{2, {endpoint < 15 ? 3.0F : 0.0F, 0}}; };
  harness.stream(0, 200, 20000, [](int) { return 60.0; });
  EXPECT_GT(sum_of(harness.sends, 15, 20), 2 * sum_of(harness.sends, 0, 15));
  EXPECT_EQ(sum_of(harness.probes, 0, 20), 5 * sum_of(harness.sends, 0, 20));
  EXPECT_TRUE(harness.finals.empty());
}

// Requests must be sent without delay or loss when probes fail.
TEST(Probes, FailuresDelayNoRequest) {
  PolicyHarness harness({}, 20, 5, probes_only);
  harness.stream(0, 200, 5000, [](int) { return 60.0; });
  EXPECT_EQ(sum_of(harness.sends, 0, 20), 25);
  EXPECT_EQ(harness.check.breach, "");
}

// A request is rejected at once if its own work or the queue ahead of it exceeds the latency objective.
TEST(Probes, RejectRequestsThatWouldBeLate) {
  PolicyHarness harness({}, 20, 5, probes_only);
  double queue_depth = 0;
  harness.probe_of = [&](int) { return LoadReport{2, {static_cast<float>(queue_depth), 0}}; };
  for (int i = 0; i < 20; ++i) harness.submit(0, 5000, 0, 0, 100), harness.pass(200);
  EXPECT_TRUE(harness.finals.empty());
  int heavy_request = harness.submit(0, 5000, 0, 0, 6000);
  harness.pass(30);
  EXPECT_EQ(harness.finals.at(heavy_request), Decision::reject);
  queue_depth = 40;
  int late_request = harness.submit(0, 5000, 0, 0, 100);
  harness.pass(30);
  EXPECT_EQ(harness.finals.at(late_request), Decision::reject);
}

// Rejections by probes do not activate the admission throttle, but Retry-After must still follow the share of
// requests rejected.
TEST(Probes, RejectionsCarryRetryAfter) {
  PolicyHarness harness({}, 20, 5,
                        PolicyHarness::with(probes_only, {{"limits.retry_after", "true"},
                                                          {"limits.max_retry_after_ms", "2000"}}));
  harness.probe_of = [](int) { return LoadReport{2, {400, 0}}; };
  for (int i = 0; i < 40; ++i) harness.submit(0, 5000, 0, 0, 100), harness.pass(30);
  EXPECT_EQ(harness.finals.size(), 40U);
  EXPECT_GT(harness.last_retry_after_ms, 100);
  EXPECT_LE(harness.last_retry_after_ms, 2000);
}

// A balancer avoids an endpoint after another balancer has reported failures of it. Truncated, altered or
// malformed messages have no effect.
TEST(Gossip, ReportedFailuresReducePicksOfTheEndpoint) {
  auto sends_after_gossip = [](int endpoint, int failure_count, auto corrupt) {
    PolicyHarness sender({}, 30, 5, depth_reported), receiver({}, 30, 6, depth_reported);
    sender.load_report_of = [](int) { return LoadReport{2, {80, 0}}; };
    for (int i = 0; i < failure_count; ++i) {
      int tries = 0;
      for (; tries < 400; ++tries) {  // requests with new keys until one is sent to that endpoint
        int id = sender.submit(0, 5000, 0, 7000 + 400 * i + tries);
        bool is_sent_to_endpoint = sender.requests.contains(id) &&
                                   sender.requests.at(id).v.attempt_count > 0 &&
                                   sender.requests.at(id).v.attempts[0].endpoint == EndpointIndex{endpoint};
        sender.end(id, 0, is_sent_to_endpoint ? Outcome::reset : Outcome::succeeded);
        if (is_sent_to_endpoint) break;
      }
    }
    sender.gossip.clear();
    sender.pass(600);
    for (auto& message : sender.gossip)
      if (auto content = decode_gossip(corrupt(encode_gossip(message.content))))
        receiver.policy.gossip_received(*content, receiver.now_ms);
    for (int i = 0; i < 300; ++i) {
      int id = receiver.submit(0, 5000, 0, 9000 + i);
      receiver.end(id, 0, Outcome::succeeded);
    }
    return receiver.sends[endpoint];
  };
  auto unchanged = [](const std::string& message) { return message; };
  EXPECT_LT(sends_after_gossip(4, 3, unchanged), 3);
  EXPECT_GE(sends_after_gossip(
                4, 3, [](const std::string& message) { return message.substr(0, message.size() - 1); }),
            3);
  EXPECT_GE(sends_after_gossip(4, 3, [](std::string message) { return message[9] ^= 1, message; }), 3);
  EXPECT_GE(sends_after_gossip(4, 3, [](const std::string&) { return std::string(4000, 'x'); }), 3);
}

TEST(Gossip, DecodesCompleteMessagesOnly) {
  GossipContent content{
      .endpoints = {{.id = 0xabcdef, .response_ms = 120, .failure_share = 0.5, .age_ms = 700}, {.id = 1}},
      .keys = {{.key = 0x123456, .share = 0.04}}};
  auto message = encode_gossip(content);
  EXPECT_LE(message.size(), 256U);
  auto decoded = decode_gossip(message);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->endpoints[0].id, 0xabcdefU);
  EXPECT_NEAR(decoded->endpoints[0].response_ms, 120, 6);
  EXPECT_EQ(decoded->endpoints[1].response_ms, 0);
  EXPECT_NEAR(decoded->endpoints[0].age_ms, 700, 51);
  EXPECT_NEAR(decoded->keys[0].share, 0.04, 0.003);
  for (std::size_t length = 0; length < message.size(); ++length)
    EXPECT_FALSE(decode_gossip(message.substr(0, length))) << length;
  EXPECT_FALSE(decode_gossip(message + '\0'));
  std::mt19937 rng(5);
  for (int i = 0; i < 20000; ++i) {
    std::string random_bytes(rng() % 260, '\0');
    for (auto& byte : random_bytes) byte = static_cast<char>(rng());
    if (!random_bytes.empty()) random_bytes[0] = 1;
    decode_gossip(random_bytes);
  }
  GossipContent oversized;
  oversized.endpoints.resize(1000);
  oversized.keys.resize(1000);
  EXPECT_LE(encode_gossip(oversized).size(), 256U);
}

// A balancer that rejects all requests receives no new reports. The last reports must lose their weight, or
// it would never admit requests again.
TEST(Gossip, OverloadIsForgottenWithoutNewReports) {
  PolicyHarness harness({}, 30, 5, depth_reported);
  harness.load_report_of = [](int) { return LoadReport{2, {3000, 25}}; };
  for (int i = 0; i < 60; ++i) {
    int id = harness.submit(0, 5000, 0, 100 + i % 30);
    harness.pass(20);
    harness.end(id, 0, Outcome::succeeded);
  }
  harness.pass(5000);
  harness.finals.clear();
  for (int i = 0; i < 10; ++i) harness.submit(0, 5000, 0, 100 + i), harness.pass(100);
  EXPECT_TRUE(harness.finals.empty());
}

}  // namespace
}  // namespace meadowgauge::test
