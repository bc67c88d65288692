// The locality router: when requests cross zones.
#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "fixtures/policy_harness.hpp"

namespace meadowgauge::test {
namespace {

TEST(LocalityRouter, CrossesZonesAtOnceWhereTheOwnOneIsFull) {
  PolicyHarness w({}, 4, 7, {{"zones", "a,b"}, {"fees.cross_zone", "0.05"}});
  for (int i = 0; i < 4; ++i) w.submit(1, 5000);
  EXPECT_EQ(w.sends, (std::map<int, int>{{0, 2}, {2, 2}}));  // the own zone's servers are the even ones
  for (int i = 0; i < 5; ++i) w.submit(1, 5000);
  EXPECT_EQ(w.sends[0] + w.sends[2], 6);
  EXPECT_EQ(w.sends[1] + w.sends[3], 3);
}

TEST(LocalityRouter, PrefersItsZoneWhereCrossingHasAPrice) {
  PolicyHarness w({}, 4, 5, {{"fees.cross_zone", "0.05"}, {"zone", "1"}});
  w.stream(0, 20, 4000, [](int) { return 15.0; });
  EXPECT_GT(w.sends[1] + w.sends[3], 9 * (w.sends[0] + w.sends[2]));
}

// At few requests a second latencies do not show that the own zone is busy; reported utilization does.
TEST(LocalityRouter, SpillsByReportedLoad) {
  PolicyHarness w({}, 8, 5,
                  {{"fees.cross_zone", "0.05"},
                   {"zone", "0"},
                   {"report.how", "inline"},
                   {"report.columns", "err_ps,load_share"}});
  w.load_report_of = [](int endpoint) { return LoadReport{2, {0, endpoint % 2 == 0 ? 0.9F : 0.2F}}; };
  w.stream(0, 60, 30000, [](int) { return 100.0; });
  EXPECT_GT(w.sends[1] + w.sends[3] + w.sends[5] + w.sends[7], 100);
}

// One of many balancers learns of other zones from the few requests that cross. Old reports of a quiet start
// must not send requests across once those zones are as busy as the own one.
TEST(LocalityRouter, DoesNotCrossOnOutdatedLoadOfTheOtherZones) {
  for (double every : {5.0, 100.0}) {  // ms between requests: the share of one of three, of one of many
    PolicyHarness w({}, 12, 5,
                    {{"fees.cross_zone", "0.05"},
                     {"zone", "0"},
                     {"stage", "1"},
                     {"stages", "front,back"},
                     {"zones", "a,b"},
                     {"replicas_of_me", every > 50 ? "100" : "3"},
                     {"report.how", "inline"},
                     {"report.columns", "err_ps,load_share"}});
    float near = 0.3F, far = 0.2F;
    w.load_report_of = [&](int endpoint) { return LoadReport{2, {0, endpoint % 2 == 0 ? near : far}}; };
    w.stream(1, every, 20000, [](int) { return 10.0; });
    auto crossed = [&] {
      int sum = 0;
      for (int endpoint = 1; endpoint < 12; endpoint += 2) sum += w.sends[endpoint];
      return sum;
    };
    int before = crossed();
    near = far = 0.6F;
    w.stream(1, every, 20000, [](int) { return 10.0; });
    EXPECT_LT(crossed() - before, 20000 / every * 0.12) << every;
  }
}

// At one of many balancers a single request saturates a local endpoint's part. A second one stays local while
// the zone has spare utilization and is no busier than the others; a third does not, nor a second at one of
// three balancers.
TEST(LocalityRouter, OfManySendsASecondLocalRequestBeforeCrossing) {
  auto crossed = [](const char* replicas, float near, float far) {  // of 160 requests, eight at a time
    PolicyHarness w({}, 8, 5,
                    {{"fees.cross_zone", "0.05"},
                     {"zone", "0"},
                     {"stage", "1"},
                     {"stages", "front,back"},
                     {"zones", "a,b"},
                     {"replicas_of_me", replicas},
                     {"report.how", "inline"},
                     {"report.columns", "err_ps,load_share"}});
    w.load_report_of = [&](int endpoint) { return LoadReport{2, {0, endpoint % 2 == 0 ? near : far}}; };
    w.stream(1, 50, 15000, [](int) { return 10.0; });
    int sum = 0;
    for (int round = 0; round < 20; ++round) {
      w.stream(1, 50, 500, [](int) { return 10.0; });
      auto before = w.sends;
      std::vector<int> ids;
      for (int i = 0; i < 8; ++i) ids.push_back(w.submit(1, 5000));
      for (int endpoint = 1; endpoint < 8; endpoint += 2) sum += w.sends[endpoint] - before[endpoint];
      for (int id : ids) w.end(id, 0, Outcome::succeeded);
    }
    return sum;
  };
  EXPECT_LT(crossed("60", 0.3F, 0.3F), 25);
  EXPECT_GT(crossed("60", 0.59F, 0.59F), 50);
  EXPECT_GT(crossed("60", 0.3F, 0.2F), 50);
  for (float far : {0.2F, 0.3F})
    EXPECT_LT(crossed("2", 0.3F, far), 25);  // alone in its zone: its part is all
}

// The spillover share is divided by the zone's balancers: all together look at other zones as often as a few
// would.
TEST(LocalityRouter, OfManyProbesOtherZonesByItsShareOfTheBalancers) {
  auto crossed = [](const char* replicas) {  // of some 2,000 requests
    PolicyHarness w(
        {}, 8, 5,
        {{"fees.cross_zone", "0.05"}, {"zone", "0"}, {"zones", "a,b"}, {"replicas_of_me", replicas}});
    w.stream(0, 30, 60000, [](int) { return 10.0; });
    return w.sends[1] + w.sends[3] + w.sends[5] + w.sends[7];
  };
  EXPECT_GT(crossed("2"), 20);
  EXPECT_LT(crossed("60"), 10);
  EXPECT_GT(crossed("60"), 0);
}

}  // namespace
}  // namespace meadowgauge::test
