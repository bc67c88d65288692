// The concurrency limiter: how many requests the first tier bears.
#include <gtest/gtest.h>

#include "fixtures/policy_harness.hpp"

namespace meadowgauge::test {
namespace {

// A start into an overload must not learn its latencies as the baseline: until that is known, few requests
// go.
TEST(ConcurrencyLimiter, IsSmallUntilTheBaselineIsKnown) {
  PolicyHarness w({}, 4, 5);
  for (int i = 0; i < 40; ++i) w.submit(0, 5000);
  EXPECT_EQ(w.requests.size(), 12u);  // eight, and the allowance for random peaks
}

// A burst fills the servers before any outcome shows it: the limit acts on the number in flight.
TEST(ConcurrencyLimiter, RejectsABurstAndAdmitsRandomPeaks) {
  PolicyHarness w({}, 4, 5);
  w.stream(0, 10, 9000, [](int) { return 300.0; });
  auto usual = w.requests.size();
  EXPECT_GT(usual, 25u);
  auto rejected = w.finals.size();
  for (int i = 0; i < 5; ++i) w.submit(0, 5000);
  EXPECT_EQ(w.finals.size(), rejected);
  for (int i = 0; i < 200; ++i) w.submit(0, 5000);
  EXPECT_LT(w.requests.size(), 2 * usual);
}

// A rejection in a deeper tier discards the work of the tiers above.
TEST(ConcurrencyLimiter, IsBoundedInTheFirstTierOnly) {
  PolicyHarness w({}, 4, 5, {{"stage", "1"}, {"stages", "a,b"}});
  for (int i = 0; i < 40; ++i) w.submit(0, 5000);
  EXPECT_EQ(w.requests.size(), 40u);
}

// A tenant over its quota and share must not use the capacity of all.
TEST(ConcurrencyLimiter, IsHalfForATenantBeyondItsShareInAnOverload) {
  PolicyHarness w({}, 30, 5,
                  {{"tenants.count", "2"},
                   {"tenants.0.share", "0.5"},
                   {"tenants.0.quota_rps", "2"},
                   {"tenants.1.share", "0.5"},
                   {"tenants.1.quota_rps", "2"}});
  for (int i = 0; i < 200; ++i) w.submit(0, 5000, 0);  // 69 are sent, the rest make an overload
  EXPECT_EQ(w.requests.size(), 69u);
  while (w.requests.size() > 20) w.end(w.requests.begin()->first, 0, Outcome::succeeded);
  for (int i = 0; i < 60; ++i) w.submit(0, 5000, 0);
  EXPECT_EQ(w.requests.size(), 32u);
  w.submit(0, 5000, 1);
  EXPECT_EQ(w.requests.size(), 33u);
}

// Random peaks of a hundred balancers add up: a peak is admitted above the mean in flight, not above a full
// limit.
TEST(ConcurrencyLimiter, AdmitsRandomPeaksOnlyWhileTheMeanIsUnderTheLimit) {
  PolicyHarness w({}, 60, 5, {{"replicas_of_me", "40"}});  // three requests are no overload
  for (int i = 0; i < 20; ++i) w.submit(0, 60000);
  EXPECT_EQ(w.requests.size(), 5u);
  for (int i = 0; i < 300; ++i) w.submit(0, 60000);
  while (w.requests.size() > 1) w.end(w.requests.begin()->first, 0, Outcome::succeeded);
  for (int i = 0; i < 20; ++i) w.submit(0, 60000);
  EXPECT_EQ(w.requests.size(), 3u);
}

// A jump of requests at one balancer of many is a random peak while the tier reports half its capacity in
// use. It is rejected where the tier is busy, or at one balancer of three.
TEST(ConcurrencyLimiter, OfManyAdmitsAJumpWhileTheTierHasCapacity) {
  auto rejected = [](const char* replicas, float util) {
    PolicyHarness w(
        {}, 12, 5,
        {{"replicas_of_me", replicas}, {"report.how", "inline"}, {"report.columns", "err_ps,load_share"}});
    w.load_report_of = [util](int) { return LoadReport{2, {0, util}}; };
    w.stream(1, 50, 15000, [](int) { return 400.0; });
    auto before = w.finals.size();
    for (int i = 0; i < 12; ++i) w.submit(1, 5000);
    return w.finals.size() - before;
  };
  EXPECT_GE(rejected("100", 0.9F), 2U);
  EXPECT_LE(rejected("100", 0.3F) + 2, rejected("100", 0.9F));
  EXPECT_EQ(rejected("3", 0.7F), rejected("3", 0.9F));
}

// An overload of a deeper tier shows in timeouts alone: the requests that succeed are quick.
TEST(ConcurrencyLimiter, ShrinksWithTimeouts) {
  PolicyHarness w({}, 4, 5);
  int n = 0;
  auto run = [&](auto took) {
    w.stream(0, 20, 12000, took);
    return w.requests.size();
  };
  auto usual = run([](int) { return 300.0; });
  run([&](int) { return ++n % 3 == 0 ? 300.0 : never; });
  EXPECT_LT(w.requests.size(), 4 * usual);  // without the limit 250 would wait for their timeout
}

}  // namespace
}  // namespace meadowgauge::test
