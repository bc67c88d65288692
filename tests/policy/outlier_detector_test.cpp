// Tests of the outlier detector: ejections, half-open trials, unresponsive endpoints.
#include <gtest/gtest.h>

#include "fixtures/policy_harness.hpp"

namespace meadowgauge::test {
namespace {

// An endpoint that fails immediately is always idle, so without ejection it would attract most requests.
TEST(OutlierDetector, EjectsEndpointThatFailsFast) {
  PolicyHarness harness({}, 5, 3);
  for (int i = 0; i < 400; ++i) {
    int id = harness.submit(1, 5000);
    for (int endpoint = 0; endpoint < 5; ++endpoint)
      if (auto it = harness.requests.find(id);
          it != harness.requests.end() && it->second.v.attempts[0].endpoint == EndpointIndex{endpoint})
        harness.end(id, 0, endpoint == 0 ? Outcome::error : Outcome::succeeded);
    harness.pass(10);
  }
  EXPECT_LT(harness.sends[0], 20);
  EXPECT_LE(harness.policy.drop_probability(harness.now_ms), 0);  // its failures do not throttle the tier
}

// For some time after an ejection has expired, only repeatable requests may be used to try the endpoint: a
// failed trial loses a request that cannot be retried.
TEST(OutlierDetector, TriesEndpointWithRepeatableRequests) {
  PolicyHarness harness({}, 5, 3);
  auto round = [&](int request_class, int rounds) {
    for (int i = 0; i < rounds; ++i, harness.pass(10)) {
      int id = harness.submit(request_class, 5000);
      if (auto it = harness.requests.find(id); it != harness.requests.end())
        harness.end(
            id, 0,
            it->second.v.attempts[0].endpoint == EndpointIndex{0} ? Outcome::error : Outcome::succeeded);
    }
  };
  round(1, 100);  // ejects server 0 for at most 1.2 s
  harness.pass(1300);
  int before = harness.sends[0];
  ASSERT_GT(before, 0);
  round(1, 100);
  EXPECT_EQ(harness.sends[0], before);
  round(0, 100);
  EXPECT_EQ(harness.sends[0], before + 1);
}

// A fault shared by all endpoints makes all of them look unhealthy. Ejecting them all would leave no
// endpoint.
TEST(OutlierDetector, EjectionNeverEmptiesTheTier) {
  PolicyHarness harness({}, 3, 3);
  for (int i = 0; i < 30; ++i) {
    int id = harness.submit(1, 5000);
    harness.end(id, 0, Outcome::error);
    harness.pass(100);
  }
  int before = harness.sends[0] + harness.sends[1] + harness.sends[2];
  harness.pass(1100);
  harness.submit(0, 5000);
  EXPECT_GT(harness.sends[0] + harness.sends[1] + harness.sends[2], before);
}

// Warming endpoints without slow-start budget must not count as unhealthy. Otherwise they would trigger the
// panic threshold, and requests would go to an endpoint that fails immediately.
TEST(OutlierDetector, WarmingEndpointsDoNotTriggerThePanicThreshold) {
  for (const char* replicas : {"3", "100"}) {
    PolicyHarness harness({.initial_share = 0.05}, 16, 3, {{"replicas_of_me", replicas}, {"stage", "1"}});
    auto rounds = [&](int n) {
      for (int i = 0; i < n; ++i, harness.pass(20)) {
        int id = harness.submit(1, 5000);
        if (auto it = harness.requests.find(id); it != harness.requests.end())
          harness.end(
              id, 0,
              it->second.v.attempts[0].endpoint == EndpointIndex{0} ? Outcome::error : Outcome::succeeded);
      }
    };
    rounds(300);
    for (std::size_t i = 6; i < 16; ++i) harness.entries[i].up_since_ms = harness.now_ms;
    harness.update_endpoints(EndpointListUpdate::full, harness.entries);
    int before = harness.sends[0];
    rounds(250);  // 5 s: one trial after each ejection
    EXPECT_LE(harness.sends[0] - before, 4) << replicas;
    EXPECT_EQ(harness.check.breach, "");
  }
}

TEST(OutlierDetector, UnresponsiveEndpointIsAvoidedAndHedged) {
  PolicyHarness harness({}, 4, 5);
  harness.stream(0, 20, 4000, [](int endpoint) { return endpoint == 0 ? never : 40.0; });
  EXPECT_LE(harness.sends[0], 4);
  for (const auto& [id, h] : harness.requests)
    EXPECT_LT(harness.now_ms - h.v.arrived_ms, 3000);  // no request is stuck at the unresponsive endpoint
}

// The more requests an endpoint leaves unanswered, the sooner it must be told apart from a slow endpoint.
TEST(OutlierDetector, DetectsSilenceSoonerWithMoreInFlight) {
  PolicyHarness harness({}, 4, 5);
  auto usual = [](int endpoint) { return endpoint == 3 ? 1200.0 : 300.0; };
  auto silent = [&](int endpoint) { return endpoint == 0 ? never : usual(endpoint); };
  harness.stream(1, 10, 6000, usual);
  harness.stream(1, 10, 3000, silent);
  int before = harness.sends[0];
  harness.stream(1, 10, 1000, silent);
  EXPECT_EQ(harness.sends[0], before);
}

}  // namespace
}  // namespace meadowgauge::test
