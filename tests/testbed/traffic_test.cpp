// Tests of the client side without I/O: arrivals, retries, the front balancer, and the histogram of
// latencies.
#include "testbed/model/traffic.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

#include "testbed/fixtures.hpp"
#include "testbed/model/front_balancer.hpp"
#include "testbed/model/histogram.hpp"
#include "testbed/model/retry_policy.hpp"

namespace meadowgauge::testbed {
namespace {

TEST(Histogram, QuantilesAreWithinTheirErrorAndMerge) {
  ASSERT_TRUE(rc::check([](std::vector<std::uint32_t> samples) {
    if (samples.empty()) return;
    Histogram histogram, a, b;
    std::vector<double> all;
    for (std::size_t i = 0; i < samples.size(); ++i) {
      double ms = samples[i] % 60000000 / 1000.0;
      all.push_back(ms);
      histogram.add(ms);
      (i % 2 ? a : b).add(ms);
    }
    a.merge(b);
    std::sort(all.begin(), all.end());
    for (double share : {0.01, 0.5, 0.9, 0.99, 1.0}) {
      auto rank = std::max<std::size_t>(
          1, static_cast<std::size_t>(std::ceil(share * static_cast<double>(all.size()))));
      double exact = all[rank - 1], quantile = histogram.quantile(share);
      RC_ASSERT(quantile >= exact - 1e-9 || quantile == histogram.max());
      RC_ASSERT(quantile <= exact * (1 + 1.0 / 128) + 0.0011);
      RC_ASSERT(a.quantile(share) == quantile);
    }
  }));
}

TEST(Traffic, SameSeedGivesTheSameArrivalsAndRatesHold) {
  TrafficSpec spec{.rate = 500,
                   .phases = {{.at_ms = 4000, .until_ms = 6000, .from = 3, .to = 3, .tenant = "b"},
                              {.at_ms = 8000, .until_ms = 10000, .from = 0, .to = 2, .tenant = ""}}};
  std::vector<TenantSpec> tenants{{"a", 1, 0}, {"b", 1, 0}};
  Traffic one(spec, request_classes(), tenants, 7), two(spec, request_classes(), tenants, 7),
      other(spec, request_classes(), tenants, 8);
  int calm = 0, burst = 0, burst_of_b = 0, ramp = 0;
  bool same = true, differs = false;
  double previous_ms = 0;
  for (;;) {
    auto x = one.next(), y = two.next(), z = other.next();
    same = same && x.at_ms == y.at_ms && x.tenant == y.tenant && x.request_class == y.request_class &&
           x.number == y.number;
    differs = differs || x.at_ms != z.at_ms;
    EXPECT_GE(x.at_ms, previous_ms);
    previous_ms = x.at_ms;
    if (x.at_ms >= 10000) break;
    if (x.at_ms < 4000) ++calm;
    if (x.at_ms >= 4000 && x.at_ms < 6000) ++burst;
    if (x.at_ms >= 4000 && x.at_ms < 6000 && x.tenant == 1) ++burst_of_b;
    if (x.at_ms >= 8000) ++ramp;
  }
  EXPECT_TRUE(same);
  EXPECT_TRUE(differs);
  EXPECT_NEAR(calm, 2000, 200);   // 500 a second
  EXPECT_NEAR(burst, 2000, 200);  // 250 a second of tenant a, three times 250 of tenant b
  EXPECT_NEAR(burst_of_b, 1500, 170);
  EXPECT_NEAR(ramp, 1000, 150);  // a ramp from 0 to twice the rate
}

TEST(Traffic, WorkersTogetherMakeTheWhole) {
  TrafficSpec spec{.rate = 1000};
  std::map<std::uint64_t, int> numbers;
  int all = 0;
  for (int worker = 0; worker < 4; ++worker) {
    Traffic worker_traffic(spec, request_classes(), {}, 3, worker, 4);
    for (auto a = worker_traffic.next(); a.at_ms < 5000; a = worker_traffic.next())
      ++numbers[a.number], ++all;
  }
  EXPECT_NEAR(all, 5000, 300);
  for (auto [request_number, times] : numbers) EXPECT_EQ(times, 1) << request_number;
}

TEST(RetryPolicy, NonIdempotentOnlyIfRejectedRetryAfterHonored) {
  RetryPolicy policy({.max_retries = 2, .backoff_ms = 100}, 5);
  EXPECT_TRUE(policy.delay_before_retry(1, 1, true, true, 0, 9000));
  EXPECT_FALSE(policy.delay_before_retry(1, 1, false, true, 0, 9000));
  EXPECT_TRUE(policy.delay_before_retry(1, 1, false, false, 0, 9000));
  EXPECT_FALSE(policy.delay_before_retry(1, 3, true, false, 0, 9000));
  EXPECT_GE(*policy.delay_before_retry(1, 1, true, false, 5000, 9000), 5000);
  EXPECT_EQ(policy.delay_before_retry(9, 1, true, false, 0, 9000),
            policy.delay_before_retry(9, 1, true, false, 0, 9000));
  EXPECT_FALSE(policy.delay_before_retry(1, 1, true, false, 0, 85));  // too little time for a response
  EXPECT_LE(*policy.delay_before_retry(1, 1, true, false, 0, 9000), 125);
  EXPECT_GE(*policy.delay_before_retry(1, 2, true, false, 0, 9000), 150);
}

TEST(FrontBalancer, PicksRoundRobinAndDetectsFailuresLate) {
  FrontBalancer front_balancer({0, 1, 0}, 1000);
  EXPECT_EQ(front_balancer.pick(0, 0), 0);
  EXPECT_EQ(front_balancer.pick(0, 0), 2);
  EXPECT_EQ(front_balancer.pick(0, 0), 0);
  front_balancer.mark_down(0, 100);
  EXPECT_EQ(front_balancer.pick(0, 200), 2);
  EXPECT_EQ(front_balancer.pick(0, 200), 0);  // not detected yet
  EXPECT_EQ(front_balancer.pick(0, 1200), 2);
  EXPECT_EQ(front_balancer.pick(0, 1200), 2);
  front_balancer.mark_down(2, 1200);
  EXPECT_EQ(front_balancer.pick(0, 3000), 1);  // no target of the zone is up
  front_balancer.mark_up(0);
  EXPECT_EQ(front_balancer.pick(0, 3000), 0);
}

}  // namespace
}  // namespace meadowgauge::testbed
