// The load estimator: probes, load reports and gossip.
#include <gtest/gtest.h>

#include <random>
#include <string>

#include "policy/policy_test_support.hpp"

namespace meadowgauge::test {
namespace {

// One of 400 balancers uses an endpoint once in half a minute: without probes its pick is no better than
// random.
TEST(Probes, SendEachRequestToTheLeastOfThoseProbed) {
  PolicyHarness w({}, 20, 5, probes_only);
  w.probe_of = [](int endpoint) { return LoadReport{2, {endpoint < 15 ? 3.0F : 0.0F, 0}}; };
  w.stream(0, 200, 20000, [](int) { return 60.0; });
  EXPECT_GT(sum_of(w.sends, 15, 20), 2 * sum_of(w.sends, 0, 15));
  EXPECT_EQ(sum_of(w.probes, 0, 20), 5 * sum_of(w.sends, 0, 20));
  EXPECT_TRUE(w.finals.empty());
}

// Failing probes delay no request and lose none.
TEST(Probes, ThatFailDelayNoRequest) {
  PolicyHarness w({}, 20, 5, probes_only);
  w.stream(0, 200, 5000, [](int) { return 60.0; });
  EXPECT_EQ(sum_of(w.sends, 0, 20), 25);
  EXPECT_EQ(w.check.breach, "");
}

// A request is rejected at once if its own work, or the queue before it, exceeds the latency objective.
TEST(Probes, RejectWhatWouldBeLate) {
  PolicyHarness w({}, 20, 5, probes_only);
  double ahead = 0;
  w.probe_of = [&](int) { return LoadReport{2, {static_cast<float>(ahead), 0}}; };
  for (int i = 0; i < 20; ++i) w.submit(0, 5000, 0, 0, 100), w.pass(200);
  EXPECT_TRUE(w.finals.empty());
  int heavy = w.submit(0, 5000, 0, 0, 6000);
  w.pass(30);
  EXPECT_EQ(w.finals.at(heavy), Decision::reject);
  ahead = 40;
  int late = w.submit(0, 5000, 0, 0, 100);
  w.pass(30);
  EXPECT_EQ(w.finals.at(late), Decision::reject);
}

// Rejections by probes leave the throttle open; Retry-After follows the share rejected all the same.
TEST(Probes, RejectionHasARetryAfter) {
  PolicyHarness w({}, 20, 5,
                  PolicyHarness::with(
                      probes_only, {{"limits.retry_after", "true"}, {"limits.max_retry_after_ms", "2000"}}));
  w.probe_of = [](int) { return LoadReport{2, {400, 0}}; };
  for (int i = 0; i < 40; ++i) w.submit(0, 5000, 0, 0, 100), w.pass(30);
  EXPECT_EQ(w.finals.size(), 40U);
  EXPECT_GT(w.advised, 100);
  EXPECT_LE(w.advised, 2000);
}

// A balancer avoids an endpoint that failed for others. Only gossip on endpoints of its own list counts;
// damaged messages change nothing.
TEST(Gossip, ChangesThePicksOfOthersAndNothingElse) {
  auto sends_after_gossip = [](int endpoint, int voices, auto spoil) {
    PolicyHarness a({}, 30, 5, depth_reported), b({}, 30, 6, depth_reported);
    a.load_report_of = [](int) { return LoadReport{2, {80, 0}}; };
    for (int i = 0; i < voices; ++i) {
      int tries = 0;
      for (; tries < 400; ++tries) {  // requests with other keys until one is sent to that server
        int id = a.submit(0, 5000, 0, 7000 + 400 * i + tries);
        bool met = a.requests.contains(id) && a.requests.at(id).v.attempt_count > 0 &&
                   a.requests.at(id).v.attempts[0].endpoint == EndpointIndex{endpoint};
        a.end(id, 0, met ? Outcome::reset : Outcome::succeeded);
        if (met) break;
      }
    }
    a.gossip.clear();
    a.pass(600);
    for (auto& m : a.gossip)
      if (auto content = decode_gossip(spoil(encode_gossip(m.content))))
        b.policy.gossip_received(*content, b.now_ms);
    for (int i = 0; i < 300; ++i) {
      int id = b.submit(0, 5000, 0, 9000 + i);
      b.end(id, 0, Outcome::succeeded);
    }
    return b.sends[endpoint];
  };
  auto as_it_is = [](const std::string& m) { return m; };
  EXPECT_LT(sends_after_gossip(4, 3, as_it_is), 3);
  EXPECT_GE(sends_after_gossip(4, 3, [](const std::string& m) { return m.substr(0, m.size() - 1); }), 3);
  EXPECT_GE(sends_after_gossip(4, 3, [](std::string m) { return m[9] ^= 1, m; }), 3);
  EXPECT_GE(sends_after_gossip(4, 3, [](const std::string&) { return std::string(4000, 'x'); }), 3);
}

TEST(Gossip, IsReadWholeOrNotAtAll) {
  GossipContent content{
      .endpoints = {{.id = 0xabcdef, .response_ms = 120, .failure_share = 0.5, .age_ms = 700}, {.id = 1}},
      .keys = {{.key = 0x123456, .share = 0.04}}};
  auto m = encode_gossip(content);
  EXPECT_LE(m.size(), 256U);
  auto back = decode_gossip(m);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->endpoints[0].id, 0xabcdefU);
  EXPECT_NEAR(back->endpoints[0].response_ms, 120, 6);
  EXPECT_EQ(back->endpoints[1].response_ms, 0);
  EXPECT_NEAR(back->endpoints[0].age_ms, 700, 51);
  EXPECT_NEAR(back->keys[0].share, 0.04, 0.003);
  for (std::size_t n = 0; n < m.size(); ++n) EXPECT_FALSE(decode_gossip(m.substr(0, n))) << n;
  EXPECT_FALSE(decode_gossip(m + '\0'));
  std::mt19937 chance(5);
  for (int i = 0; i < 20000; ++i) {
    std::string noise(chance() % 260, '\0');
    for (auto& c : noise) c = static_cast<char>(chance());
    if (!noise.empty()) noise[0] = 1;
    decode_gossip(noise);
  }
  GossipContent many;
  many.endpoints.resize(1000);
  many.keys.resize(1000);
  EXPECT_LE(encode_gossip(many).size(), 256U);
}

// A balancer that rejects everything learns nothing new: its last reports must lose their weight.
TEST(Gossip, OfAnOverloadIsForgottenOnceNoneComes) {
  PolicyHarness w({}, 30, 5, depth_reported);
  w.load_report_of = [](int) { return LoadReport{2, {3000, 25}}; };
  for (int i = 0; i < 60; ++i) {
    int id = w.submit(0, 5000, 0, 100 + i % 30);
    w.pass(20);
    w.end(id, 0, Outcome::succeeded);
  }
  w.pass(5000);
  w.finals.clear();
  for (int i = 0; i < 10; ++i) w.submit(0, 5000, 0, 100 + i), w.pass(100);
  EXPECT_TRUE(w.finals.empty());
}

}  // namespace
}  // namespace meadowgauge::test
