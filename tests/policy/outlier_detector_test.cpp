// The outlier detector: ejections, half-open trials, unresponsive endpoints.
#include <gtest/gtest.h>

#include "fixtures/policy_harness.hpp"

namespace meadowgauge::test {
namespace {

// An endpoint that fails at once is always idle and would attract the picks.
TEST(OutlierDetector, QuickFailerIsEjected) {
  PolicyHarness w({}, 5, 3);
  for (int i = 0; i < 400; ++i) {
    int id = w.submit(1, 5000);
    for (int endpoint = 0; endpoint < 5; ++endpoint)
      if (auto it = w.requests.find(id);
          it != w.requests.end() && it->second.v.attempts[0].endpoint == EndpointIndex{endpoint})
        w.end(id, 0, endpoint == 0 ? Outcome::error : Outcome::succeeded);
    w.pass(10);
  }
  EXPECT_LT(w.sends[0], 20);
  EXPECT_LE(w.policy.drop_probability(w.now_ms), 0);  // and does not throttle the tier
}

// For some time after its ejection only repeatable requests try an endpoint.
TEST(OutlierDetector, IsTriedByRequestsThatMayRunAgain) {
  PolicyHarness w({}, 5, 3);
  auto round = [&](int request_class, int rounds) {
    for (int i = 0; i < rounds; ++i, w.pass(10)) {
      int id = w.submit(request_class, 5000);
      if (auto it = w.requests.find(id); it != w.requests.end())
        w.end(id, 0,
              it->second.v.attempts[0].endpoint == EndpointIndex{0} ? Outcome::error : Outcome::succeeded);
    }
  };
  round(1, 100);  // by now server 0 is ejected, for 1.2 s at most
  w.pass(1300);
  int before = w.sends[0];
  ASSERT_GT(before, 0);
  round(1, 100);
  EXPECT_EQ(w.sends[0], before);
  round(0, 100);
  EXPECT_EQ(w.sends[0], before + 1);
}

// A shared fault makes all endpoints look unhealthy: ejecting them would empty the tier.
TEST(OutlierDetector, EjectionNeverEmptiesTheTier) {
  PolicyHarness w({}, 3, 3);
  for (int i = 0; i < 30; ++i) {
    int id = w.submit(1, 5000);
    w.end(id, 0, Outcome::error);
    w.pass(100);
  }
  int before = w.sends[0] + w.sends[1] + w.sends[2];
  w.pass(1100);
  w.submit(0, 5000);
  EXPECT_GT(w.sends[0] + w.sends[1] + w.sends[2], before);
}

// Warming endpoints without budget are not unhealthy: an endpoint that fails at once is not used again
// because the others have no budget.
TEST(OutlierDetector, WarmingEndpointsDoNotTriggerThePanicThreshold) {
  for (const char* replicas : {"3", "100"}) {
    PolicyHarness w({.initial_share = 0.05}, 16, 3, {{"replicas_of_me", replicas}, {"stage", "1"}});
    auto rounds = [&](int n) {
      for (int i = 0; i < n; ++i, w.pass(20)) {
        int id = w.submit(1, 5000);
        if (auto it = w.requests.find(id); it != w.requests.end())
          w.end(id, 0,
                it->second.v.attempts[0].endpoint == EndpointIndex{0} ? Outcome::error : Outcome::succeeded);
      }
    };
    rounds(300);
    for (std::size_t i = 6; i < 16; ++i) w.entries[i].up_since_ms = w.now_ms;
    w.update_endpoints(EndpointListUpdate::full, w.entries);
    int before = w.sends[0];
    rounds(250);  // 5 s: a trial after each ejection, and no more
    EXPECT_LE(w.sends[0] - before, 4) << replicas;
    EXPECT_EQ(w.check.breach, "");
  }
}

TEST(OutlierDetector, UnresponsiveEndpointIsAvoidedAndHedged) {
  PolicyHarness w({}, 4, 5);
  w.stream(0, 20, 4000, [](int endpoint) { return endpoint == 0 ? never : 40.0; });
  EXPECT_LE(w.sends[0], 4);
  for (const auto& [id, h] : w.requests)
    EXPECT_LT(w.now_ms - h.v.arrived_ms, 3000);  // none was left waiting there
}

// The more requests an endpoint leaves unanswered, the sooner it is told apart from a slow one.
TEST(OutlierDetector, DetectsSilenceSoonerWithMoreInFlight) {
  PolicyHarness w({}, 4, 5);
  auto usual = [](int endpoint) { return endpoint == 3 ? 1200.0 : 300.0; };
  auto silent = [&](int endpoint) { return endpoint == 0 ? never : usual(endpoint); };
  w.stream(1, 10, 6000, usual);
  w.stream(1, 10, 3000, silent);
  int before = w.sends[0];
  w.stream(1, 10, 1000, silent);
  EXPECT_EQ(w.sends[0], before);
}

}  // namespace
}  // namespace meadowgauge::test
