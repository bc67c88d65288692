// The endpoint picker: idle endpoints, weights, and what it does with none.
#include <gtest/gtest.h>

#include <map>

#include "policy/policy_test_support.hpp"

namespace meadowgauge::test {
namespace {

TEST(EndpointPicker, PrefersServersWithNothingOfOurs) {
  PolicyHarness w({}, 4, 7);
  for (int i = 0; i < 4; ++i) w.submit(0, 5000);
  EXPECT_EQ(w.sends, (std::map<int, int>{{0, 1}, {1, 1}, {2, 1}, {3, 1}}));
}

TEST(EndpointPicker, RefusesWithNoneUsable) {
  PolicyHarness w({}, 2, 7);
  for (auto& e : w.entries) e.state = EndpointState::draining;
  w.update_endpoints(EndpointListUpdate::full, w.entries);
  int id = w.submit(0, 5000);
  EXPECT_EQ(w.finals.at(id), Decision::reject);
  EXPECT_TRUE(w.sends.empty());
}

// A half-speed server of a deeper tier was overloaded by even draws: clients nearly always find idle servers
// there.
TEST(EndpointPicker, FollowsTheListedWeights) {
  PolicyHarness w({}, 2, 5);
  w.entries[0].weight = 3;
  w.update_endpoints(EndpointListUpdate::full, w.entries);
  w.stream(0, 20, 8000, [](int endpoint) { return endpoint == 0 ? 5.0 : 15.0; });
  EXPECT_GT(w.sends[0], 2 * w.sends[1]);
}

// One slow server used up the concurrency of all tiers before it (incident ie63fa9).
TEST(EndpointPicker, DrawsSlowServersLess) {
  PolicyHarness w({}, 6, 5);
  w.stream(0, 15, 8000, [](int endpoint) { return endpoint == 0 ? 900.0 : 40.0; });
  EXPECT_LT(w.sends[0], w.sends[1] / 4);
}

// Servers of a slow kind, each used once in a while, drew as much as fast ones and stayed overloaded
// (hobart-noms-later, a burst).
TEST(EndpointPicker, DrawsSlowKindsLess) {
  PolicyHarness w({}, 100, 5);
  for (auto& e : w.entries) e.server_kind = number_of(e.endpoint) < 50 ? 1 : 0;
  w.update_endpoints(EndpointListUpdate::full, w.entries);
  w.stream(0, 50, 30000, [](int endpoint) { return endpoint < 50 ? 600.0 : 60.0; });
  EXPECT_GT(sum_of(w.sends, 50, 100), 3 * sum_of(w.sends, 0, 50));
}

}  // namespace
}  // namespace meadowgauge::test
