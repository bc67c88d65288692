// Tests of the concurrency limiter, which limits the requests in flight to the first tier.
#include <gtest/gtest.h>

#include "fixtures/policy_harness.hpp"

namespace meadowgauge::test {
namespace {

// A balancer started during an overload must not learn the overload's latencies as the baseline: until the
// baseline is known, few requests are sent.
TEST(ConcurrencyLimiter, AdmitsFewUntilTheBaselineIsKnown) {
  PolicyHarness harness({}, 4, 5);
  for (int i = 0; i < 40; ++i) harness.submit(0, 5000);
  EXPECT_EQ(harness.requests.size(), 12u);  // U = 8, plus the burst allowance
}

// A burst fills the servers before any response shows the overload, so the limit must act on the number in
// flight.
TEST(ConcurrencyLimiter, RejectsABurstAndAdmitsRandomPeaks) {
  PolicyHarness harness({}, 4, 5);
  harness.stream(0, 10, 9000, [](int) { return 300.0; });
  auto usual_in_flight = harness.requests.size();
  EXPECT_GT(usual_in_flight, 25u);
  auto rejected = harness.finals.size();
  for (int i = 0; i < 5; ++i) harness.submit(0, 5000);
  EXPECT_EQ(harness.finals.size(), rejected);
  for (int i = 0; i < 200; ++i) harness.submit(0, 5000);
  EXPECT_LT(harness.requests.size(), 2 * usual_in_flight);
}

// A rejection in a deeper tier would discard the work of the tiers above.
TEST(ConcurrencyLimiter, LimitsTheFirstTierOnly) {
  PolicyHarness harness({}, 4, 5, {{"stage", "1"}, {"stages", "a,b"}});
  for (int i = 0; i < 40; ++i) harness.submit(0, 5000);
  EXPECT_EQ(harness.requests.size(), 40u);
}

// A tenant over its quota and share must not use the capacity of the other tenants.
TEST(ConcurrencyLimiter, HalvesLimitForTenantOverQuotaInOverload) {
  PolicyHarness harness({}, 30, 5,
                        {{"tenants.count", "2"},
                         {"tenants.0.share", "0.5"},
                         {"tenants.0.quota_rps", "2"},
                         {"tenants.1.share", "0.5"},
                         {"tenants.1.quota_rps", "2"}});
  for (int i = 0; i < 200; ++i) harness.submit(0, 5000, 0);  // 69 are sent; the rejected rest is an overload
  EXPECT_EQ(harness.requests.size(), 69u);
  while (harness.requests.size() > 20) harness.end(harness.requests.begin()->first, 0, Outcome::succeeded);
  for (int i = 0; i < 60; ++i) harness.submit(0, 5000, 0);
  EXPECT_EQ(harness.requests.size(), 32u);
  harness.submit(0, 5000, 1);
  EXPECT_EQ(harness.requests.size(), 33u);
}

// Random peaks of many balancers add up, so a peak above the limit is admitted only while the mean in flight
// is below the limit.
TEST(ConcurrencyLimiter, AdmitsPeaksOnlyWhileMeanIsBelowLimit) {
  PolicyHarness harness({}, 60, 5, {{"replicas_of_me", "40"}});  // U = 3
  for (int i = 0; i < 20; ++i) harness.submit(0, 60000);
  EXPECT_EQ(harness.requests.size(), 5u);
  for (int i = 0; i < 300; ++i) harness.submit(0, 60000);
  while (harness.requests.size() > 1) harness.end(harness.requests.begin()->first, 0, Outcome::succeeded);
  for (int i = 0; i < 20; ++i) harness.submit(0, 60000);
  EXPECT_EQ(harness.requests.size(), 3u);
}

// With 100 balancers, a jump of requests at one of them is admitted while the tier reports spare capacity,
// and rejected while the tier is busy. At one of three balancers the jump is rejected at any utilization.
TEST(ConcurrencyLimiter, AdmitsLocalPeakWhileTheTierHasCapacity) {
  auto rejected = [](const char* replicas, float utilization) {
    PolicyHarness harness(
        {}, 12, 5,
        {{"replicas_of_me", replicas}, {"report.how", "inline"}, {"report.columns", "err_ps,load_share"}});
    harness.load_report_of = [utilization](int) { return LoadReport{2, {0, utilization}}; };
    harness.stream(1, 50, 15000, [](int) { return 400.0; });
    auto rejected_before = harness.finals.size();
    for (int i = 0; i < 12; ++i) harness.submit(1, 5000);
    return harness.finals.size() - rejected_before;
  };
  EXPECT_GE(rejected("100", 0.9F), 2U);
  EXPECT_LE(rejected("100", 0.3F) + 2, rejected("100", 0.9F));
  EXPECT_EQ(rejected("3", 0.7F), rejected("3", 0.9F));
}

// An overload of a deeper tier may show only in timeouts, while the requests that succeed are fast. The limit
// must count timeouts as overload.
TEST(ConcurrencyLimiter, ShrinksWithTimeouts) {
  PolicyHarness harness({}, 4, 5);
  int request_count = 0;
  auto run_stream = [&](auto latency) {
    harness.stream(0, 20, 12000, latency);
    return harness.requests.size();
  };
  auto usual_in_flight = run_stream([](int) { return 300.0; });
  run_stream([&](int) { return ++request_count % 3 == 0 ? 300.0 : never; });
  // Without the limit, 250 requests would wait for their timeout.
  EXPECT_LT(harness.requests.size(), 4 * usual_in_flight);
}

}  // namespace
}  // namespace meadowgauge::test
