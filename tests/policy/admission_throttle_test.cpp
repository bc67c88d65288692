// The admission throttle: its figures worked out by hand.
#include <gtest/gtest.h>

#include "policy/policy_test_support.hpp"

namespace meadowgauge::test {
namespace {

TEST(AdmissionThrottle, FollowsTheFormula) {
  PolicyHarness w({}, 4, 1);
  feed(w, 10, 0);
  // One all-success bucket at the head: (10 - 5 - 1.5 * 10) / 11 * 39 / 40.
  EXPECT_NEAR(w.policy.drop_probability(w.now_ms), -10.0 / 11 * 39 / 40, 1e-9);
  w.pass(250);
  feed(w, 0, 1);
  // One all-failure bucket: w = 1.5 - 0.4 / 40 = 1.49; (11 - 5 - 14.9) / 12.
  EXPECT_NEAR(w.policy.drop_probability(w.now_ms), (11 - 5 - 14.9) / 12, 1e-9);
  w.pass(10250);
  EXPECT_LT(w.policy.drop_probability(w.now_ms), 0);  // all of it has left the window
}

TEST(AdmissionThrottle, RefusesAtArrivalAndTriesEverySecond) {
  PolicyHarness w({}, 4, 1);
  feed(w, 0, 300);
  ASSERT_GT(w.policy.drop_probability(w.now_ms), 0.5);
  int before = 0, after = 0;
  for (const auto& [endpoint, n] : w.sends) before += n;
  for (int s = 0; s < 5; ++s) {
    w.pass(1005);
    int id = w.submit(1, 900);
    w.end(id, 0, Outcome::rejected);
  }
  for (const auto& [endpoint, n] : w.sends) after += n;
  EXPECT_EQ(after - before, 5);
}

}  // namespace
}  // namespace meadowgauge::test
