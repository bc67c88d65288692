// Key affinity: which endpoint serves a key.
#include <gtest/gtest.h>

#include "policy/policy_test_support.hpp"

namespace meadowgauge::test {
namespace {

// Endpoints cache recent keys, so all balancers send a key to the same endpoint, in whatever order it is
// listed.
TEST(KeyAffinity, SendsAKeyToTheServerThatAllBalancersRankFirst) {
  auto server = [](std::uint64_t key, bool backwards) {
    PolicyHarness w({}, 0, backwards ? 5 : 6, depth_reported);
    for (int i = 0; i < 30; ++i)
      w.entries.push_back({.endpoint = EndpointIndex{i}, .weight = 1, .id = 500u + (backwards ? 29 - i : i)});
    w.update_endpoints(EndpointListUpdate::full, w.entries);
    // Some requests first, so that a single one does not make a popular key.
    for (std::uint64_t k = 1; k <= 60; ++k) {
      int id = w.submit(0, 5000, 0, 1000 + k);
      w.pass(50);
      w.end(id, 0, Outcome::succeeded);
    }
    w.sends.clear();
    w.submit(0, 5000, 0, key);
    return w.entries[static_cast<std::size_t>(w.sends.begin()->first)].id;
  };
  int alike = 0;
  for (std::uint64_t key = 1; key <= 20; ++key) alike += server(key, true) == server(key, false) ? 1 : 0;
  EXPECT_GE(alike, 19);
}

}  // namespace
}  // namespace meadowgauge::test
