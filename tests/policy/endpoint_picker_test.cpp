// Tests of the endpoint picker: idle endpoints, weights, fleet trials, and a tier without a usable endpoint.
#include <gtest/gtest.h>

#include <map>

#include "policy/policy_test_support.hpp"

namespace meadowgauge::test {
namespace {

TEST(EndpointPicker, PrefersIdleEndpoints) {
  PolicyHarness harness({}, 4, 7);
  for (int i = 0; i < 4; ++i) harness.submit(0, 5000);
  EXPECT_EQ(harness.sends, (std::map<int, int>{{0, 1}, {1, 1}, {2, 1}, {3, 1}}));
}

TEST(EndpointPicker, RejectsWithoutUsableEndpoint) {
  PolicyHarness harness({}, 2, 7);
  for (auto& entry : harness.entries) entry.state = EndpointState::draining;
  harness.update_endpoints(EndpointListUpdate::full, harness.entries);
  int id = harness.submit(0, 5000);
  EXPECT_EQ(harness.finals.at(id), Decision::reject);
  EXPECT_TRUE(harness.sends.empty());
}

// In a deeper tier nearly every pick finds idle endpoints. If they were drawn with equal probability, an
// endpoint of half the speed would be overloaded.
TEST(EndpointPicker, FollowsTheListedWeights) {
  PolicyHarness harness({}, 2, 5);
  harness.entries[0].weight = 3;
  harness.update_endpoints(EndpointListUpdate::full, harness.entries);
  harness.stream(0, 20, 8000, [](int endpoint) { return endpoint == 0 ? 5.0 : 15.0; });
  EXPECT_GT(harness.sends[0], 2 * harness.sends[1]);
}

// Requests held by one slow endpoint use up the concurrency of all tiers above it.
TEST(EndpointPicker, PicksSlowEndpointsLessOften) {
  PolicyHarness harness({}, 6, 5);
  harness.stream(0, 15, 8000, [](int endpoint) { return endpoint == 0 ? 900.0 : 40.0; });
  EXPECT_LT(harness.sends[0], harness.sends[1] / 4);
}

// A trial requested by the fleet is sent with the next repeatable request, and only once per turn.
TEST(EndpointPicker, SendsOneRequestPerFleetTrialTurn) {
  PolicyHarness harness({}, 8, 5);
  harness.policy.request_trials(std::vector<std::uint32_t>{harness.entries[3].id});
  harness.submit(1, 5000);
  EXPECT_EQ(harness.sends[3], 0);  // non-idempotent
  harness.submit(0, 5000);
  EXPECT_EQ(harness.sends[3], 1);
  harness.policy.request_trials(std::vector<std::uint32_t>{harness.entries[3].id});
  for (int i = 0; i < 6; ++i) harness.submit(0, 5000);
  EXPECT_EQ(harness.sends[3], 1);  // the others are idle
  harness.policy.request_trials({});
  harness.policy.request_trials(std::vector<std::uint32_t>{harness.entries[3].id});
  harness.submit(0, 5000);
  EXPECT_EQ(harness.sends[3], 2);  // another turn, although other endpoints are as idle
}

// Endpoints picked too seldom to measure their latency are weighted by the latency of their server kind.
TEST(EndpointPicker, PicksSlowServerKindsLessOften) {
  PolicyHarness harness({}, 100, 5);
  for (auto& entry : harness.entries) entry.server_kind = number_of(entry.endpoint) < 50 ? 1 : 0;
  harness.update_endpoints(EndpointListUpdate::full, harness.entries);
  harness.stream(0, 50, 30000, [](int endpoint) { return endpoint < 50 ? 600.0 : 60.0; });
  EXPECT_GT(sum_of(harness.sends, 50, 100), 3 * sum_of(harness.sends, 0, 50));
}

}  // namespace
}  // namespace meadowgauge::test
