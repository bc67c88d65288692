// Tests of the admission throttle. The expected probabilities are computed by hand from the formula.
#include <gtest/gtest.h>

#include "policy/policy_test_support.hpp"

namespace meadowgauge::test {
namespace {

TEST(AdmissionThrottle, MatchesDropProbabilityFormula) {
  PolicyHarness harness({}, 4, 1);
  feed(harness, 10, 0);
  // The newest bucket has only successes: (10 - 5 - 1.5 * 10) / 11 * 39 / 40.
  EXPECT_NEAR(harness.policy.drop_probability(harness.now_ms), -10.0 / 11 * 39 / 40, 1e-9);
  harness.pass(250);
  feed(harness, 0, 1);
  // The newest bucket has only failures: k = 1.5 - 0.4 / 40 = 1.49; (11 - 5 - 14.9) / 12.
  EXPECT_NEAR(harness.policy.drop_probability(harness.now_ms), (11 - 5 - 14.9) / 12, 1e-9);
  harness.pass(10250);
  EXPECT_LT(harness.policy.drop_probability(harness.now_ms), 0);  // all outcomes are older than the window
}

TEST(AdmissionThrottle, AdmitsOneRequestPerSecondWhenDropping) {
  PolicyHarness harness({}, 4, 1);
  feed(harness, 0, 300);
  ASSERT_GT(harness.policy.drop_probability(harness.now_ms), 0.5);
  int sends_before = 0, sends_after = 0;
  for (const auto& [endpoint, count] : harness.sends) sends_before += count;
  for (int second = 0; second < 5; ++second) {
    harness.pass(1005);
    int id = harness.submit(1, 900);
    harness.end(id, 0, Outcome::rejected);
  }
  for (const auto& [endpoint, count] : harness.sends) sends_after += count;
  EXPECT_EQ(sends_after - sends_before, 5);
}

}  // namespace
}  // namespace meadowgauge::test
