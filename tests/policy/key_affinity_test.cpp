// Tests of key affinity: which endpoint serves a key.
#include <gtest/gtest.h>

#include "policy/policy_test_support.hpp"

namespace meadowgauge::test {
namespace {

// Endpoints cache recent keys, so all balancers must send a key to the same endpoint, whatever the order of
// their endpoint lists.
TEST(KeyAffinity, BalancersSendAKeyToTheSameEndpoint) {
  auto endpoint_id_for = [](std::uint64_t key, bool is_list_reversed) {
    PolicyHarness harness({}, 0, is_list_reversed ? 5 : 6, depth_reported);
    for (int i = 0; i < 30; ++i)
      harness.entries.push_back(
          {.endpoint = EndpointIndex{i}, .weight = 1, .id = 500u + (is_list_reversed ? 29 - i : i)});
    harness.update_endpoints(EndpointListUpdate::full, harness.entries);
    // Other requests first, so that a single request does not make its key popular.
    for (std::uint64_t other_key = 1; other_key <= 60; ++other_key) {
      int id = harness.submit(0, 5000, 0, 1000 + other_key);
      harness.pass(50);
      harness.end(id, 0, Outcome::succeeded);
    }
    harness.sends.clear();
    harness.submit(0, 5000, 0, key);
    return harness.entries[static_cast<std::size_t>(harness.sends.begin()->first)].id;
  };
  int same_count = 0;
  for (std::uint64_t key = 1; key <= 20; ++key)
    same_count += endpoint_id_for(key, true) == endpoint_id_for(key, false) ? 1 : 0;
  EXPECT_GE(same_count, 19);
}

}  // namespace
}  // namespace meadowgauge::test
