// The endpoint picker: idle endpoints, weights, and a tier without a usable endpoint.
#include <gtest/gtest.h>

#include <map>

#include "policy/policy_test_support.hpp"

namespace meadowgauge::test {
namespace {

TEST(EndpointPicker, PrefersEndpointsWithoutOwnRequests) {
  PolicyHarness w({}, 4, 7);
  for (int i = 0; i < 4; ++i) w.submit(0, 5000);
  EXPECT_EQ(w.sends, (std::map<int, int>{{0, 1}, {1, 1}, {2, 1}, {3, 1}}));
}

TEST(EndpointPicker, RejectsWithoutAUsableEndpoint) {
  PolicyHarness w({}, 2, 7);
  for (auto& e : w.entries) e.state = EndpointState::draining;
  w.update_endpoints(EndpointListUpdate::full, w.entries);
  int id = w.submit(0, 5000);
  EXPECT_EQ(w.finals.at(id), Decision::reject);
  EXPECT_TRUE(w.sends.empty());
}

// In a deeper tier nearly every pick finds idle endpoints: even draws would overload one of half speed.
TEST(EndpointPicker, FollowsTheListedWeights) {
  PolicyHarness w({}, 2, 5);
  w.entries[0].weight = 3;
  w.update_endpoints(EndpointListUpdate::full, w.entries);
  w.stream(0, 20, 8000, [](int endpoint) { return endpoint == 0 ? 5.0 : 15.0; });
  EXPECT_GT(w.sends[0], 2 * w.sends[1]);
}

// Requests at one slow endpoint use up the concurrency of all tiers before it.
TEST(EndpointPicker, DrawsSlowServersLess) {
  PolicyHarness w({}, 6, 5);
  w.stream(0, 15, 8000, [](int endpoint) { return endpoint == 0 ? 900.0 : 40.0; });
  EXPECT_LT(w.sends[0], w.sends[1] / 4);
}

// A trial that the fleet waits for is sent with the next request that may be repeated, and once a turn.
TEST(EndpointPicker, TakesTheTurnOfAFleetTrialWithOneRequest) {
  PolicyHarness w({}, 8, 5);
  w.policy.request_trials(std::vector<std::uint32_t>{w.entries[3].id});
  w.submit(1, 5000);
  EXPECT_EQ(w.sends[3], 0);  // non-idempotent
  w.submit(0, 5000);
  EXPECT_EQ(w.sends[3], 1);
  w.policy.request_trials(std::vector<std::uint32_t>{w.entries[3].id});
  for (int i = 0; i < 6; ++i) w.submit(0, 5000);
  EXPECT_EQ(w.sends[3], 1);  // the others are idle
  w.policy.request_trials({});
  w.policy.request_trials(std::vector<std::uint32_t>{w.entries[3].id});
  w.submit(0, 5000);
  EXPECT_EQ(w.sends[3], 2);  // another turn, though others have as few in flight
}

// Endpoints that are picked too seldom to measure are weighted by what their server kind has shown.
TEST(EndpointPicker, DrawsSlowKindsLess) {
  PolicyHarness w({}, 100, 5);
  for (auto& e : w.entries) e.server_kind = number_of(e.endpoint) < 50 ? 1 : 0;
  w.update_endpoints(EndpointListUpdate::full, w.entries);
  w.stream(0, 50, 30000, [](int endpoint) { return endpoint < 50 ? 600.0 : 60.0; });
  EXPECT_GT(sum_of(w.sends, 50, 100), 3 * sum_of(w.sends, 0, 50));
}

}  // namespace
}  // namespace meadowgauge::test
