// Tests of the locality router: when requests cross zones.
#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "fixtures/policy_harness.hpp"

namespace meadowgauge::test {
namespace {

TEST(LocalityRouter, CrossesZonesAtOnceWhenLocalZoneIsFull) {
  PolicyHarness harness({}, 4, 7, {{"zones", "a,b"}, {"fees.cross_zone", "0.05"}});
  for (int i = 0; i < 4; ++i) harness.submit(1, 5000);
  EXPECT_EQ(harness.sends, (std::map<int, int>{{0, 2}, {2, 2}}));  // servers with even numbers are local
  for (int i = 0; i < 5; ++i) harness.submit(1, 5000);
  EXPECT_EQ(harness.sends[0] + harness.sends[2], 6);
  EXPECT_EQ(harness.sends[1] + harness.sends[3], 3);
}

TEST(LocalityRouter, PrefersLocalZoneWhenCrossingHasACost) {
  PolicyHarness harness({}, 4, 5, {{"fees.cross_zone", "0.05"}, {"zone", "1"}});
  harness.stream(0, 20, 4000, [](int) { return 15.0; });
  EXPECT_GT(harness.sends[1] + harness.sends[3], 9 * (harness.sends[0] + harness.sends[2]));
}

// At a low request rate, latencies do not show that the own zone is busy. Reported utilization must then make
// requests spill over.
TEST(LocalityRouter, SpillsOverByReportedUtilization) {
  PolicyHarness harness({}, 8, 5,
                        {{"fees.cross_zone", "0.05"},
                         {"zone", "0"},
                         {"report.how", "inline"},
                         {"report.columns", "err_ps,load_share"}});
  harness.load_report_of = [](int endpoint) { return LoadReport{2, {0, endpoint % 2 == 0 ? 0.9F : 0.2F}}; };
  harness.stream(0, 60, 30000, [](int) { return 100.0; });
  EXPECT_GT(harness.sends[1] + harness.sends[3] + harness.sends[5] + harness.sends[7], 100);
}

// One balancer of many learns the load of other zones only from its few requests that cross. Outdated reports
// of a low load must not send requests to zones that have since become as busy as the own zone.
TEST(LocalityRouter, IgnoresOutdatedLoadOfRemoteZones) {
  for (double interval_ms : {5.0, 100.0}) {  // ms between requests at one balancer of three, and of a hundred
    PolicyHarness harness({}, 12, 5,
                          {{"fees.cross_zone", "0.05"},
                           {"zone", "0"},
                           {"stage", "1"},
                           {"stages", "front,back"},
                           {"zones", "a,b"},
                           {"replicas_of_me", interval_ms > 50 ? "100" : "3"},
                           {"report.how", "inline"},
                           {"report.columns", "err_ps,load_share"}});
    float local_load = 0.3F, remote_load = 0.2F;
    harness.load_report_of = [&](int endpoint) {
      return LoadReport{2, {0, endpoint % 2 == 0 ? local_load : remote_load}};
    };
    harness.stream(1, interval_ms, 20000, [](int) { return 10.0; });
    auto crossed = [&] {
      int sum = 0;
      for (int endpoint = 1; endpoint < 12; endpoint += 2) sum += harness.sends[endpoint];
      return sum;
    };
    int before = crossed();
    local_load = remote_load = 0.6F;
    harness.stream(1, interval_ms, 20000, [](int) { return 10.0; });
    EXPECT_LT(crossed() - before, 20000 / interval_ms * 0.12) << interval_ms;
  }
}

// With many balancers, a single request uses up a balancer's share of a local endpoint, although the zone may
// be nearly idle. A second request must stay local while the zone has spare utilization and is no busier than
// the others. A third request must not, nor a second one where there are few balancers.
TEST(LocalityRouter, SendsSecondLocalRequestBeforeCrossing) {
  // Returns how many of 160 requests, sent eight at a time, cross zones.
  auto crossed = [](const char* replicas, float local_load, float remote_load) {
    PolicyHarness harness({}, 8, 5,
                          {{"fees.cross_zone", "0.05"},
                           {"zone", "0"},
                           {"stage", "1"},
                           {"stages", "front,back"},
                           {"zones", "a,b"},
                           {"replicas_of_me", replicas},
                           {"report.how", "inline"},
                           {"report.columns", "err_ps,load_share"}});
    harness.load_report_of = [&](int endpoint) {
      return LoadReport{2, {0, endpoint % 2 == 0 ? local_load : remote_load}};
    };
    harness.stream(1, 50, 15000, [](int) { return 10.0; });
    int sum = 0;
    for (int round = 0; round < 20; ++round) {
      harness.stream(1, 50, 500, [](int) { return 10.0; });
      auto before = harness.sends;
      std::vector<int> ids;
      for (int i = 0; i < 8; ++i) ids.push_back(harness.submit(1, 5000));
      for (int endpoint = 1; endpoint < 8; endpoint += 2) sum += harness.sends[endpoint] - before[endpoint];
      for (int id : ids) harness.end(id, 0, Outcome::succeeded);
    }
    return sum;
  };
  EXPECT_LT(crossed("60", 0.3F, 0.3F), 25);
  EXPECT_GT(crossed("60", 0.59F, 0.59F), 50);
  EXPECT_GT(crossed("60", 0.3F, 0.2F), 50);
  for (float remote_load : {0.2F, 0.3F})
    EXPECT_LT(crossed("2", 0.3F, remote_load), 25);  // with one balancer per zone
}

// The minimum spillover share is divided by the number of balancers in the zone. Otherwise many balancers
// would send more requests to other zones than a few balancers do.
TEST(LocalityRouter, DividesSpilloverAmongBalancers) {
  // Returns how many of about 2,000 requests cross zones.
  auto crossed = [](const char* replicas) {
    PolicyHarness harness(
        {}, 8, 5,
        {{"fees.cross_zone", "0.05"}, {"zone", "0"}, {"zones", "a,b"}, {"replicas_of_me", replicas}});
    harness.stream(0, 30, 60000, [](int) { return 10.0; });
    return harness.sends[1] + harness.sends[3] + harness.sends[5] + harness.sends[7];
  };
  EXPECT_GT(crossed("2"), 20);
  EXPECT_LT(crossed("60"), 10);
  EXPECT_GT(crossed("60"), 0);
}

}  // namespace
}  // namespace meadowgauge::test
