// How balancers that poll one discovery call it, in simulated time: many of them, a discovery of fixed
// capacity, an outage.
#include "proxy/discovery/watch_pacing.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <queue>
#include <vector>

namespace meadowgauge::proxy {
namespace {

// Takes one call after the other and is silent while it is out; a call without an answer for so long fails.
// What has failed for its time is worked on all the same.
struct PolledDiscovery {
  static constexpr double time_out_ms = 2000, longest_queue_ms = 4000;
  double call_ms = 0, out_from = 0, out_until = 0;
  double free_at_ms = 0;
  int wasted = 0;

  // When the answer comes, if it is one; or when the call fails.
  std::pair<double, bool> call(double at, double given_up_after) {
    double limit = std::min(time_out_ms, given_up_after);
    if (at >= out_from && at < out_until) return {at + limit, false};
    if (free_at_ms - at > longest_queue_ms) return {at, false};
    free_at_ms = std::max(free_at_ms, at) + call_ms;
    if (free_at_ms - at <= limit) return {free_at_ms, true};
    ++wasted;
    return {at + limit, false};
  }
};

struct Call {
  double at;
  int who;
  bool operator>(const Call& other) const { return at > other.at; }
};

// The fleet's watches break as discovery fails; the last of them is up again so long after its return.
double recovery_ms(int instances, double call_ms, double outage_ms, std::uint64_t seed,
                   int* wasted = nullptr) {
  PolledDiscovery discovery{.call_ms = call_ms, .out_from = 0, .out_until = outage_ms};
  std::vector<WatchPacing> fleet;
  std::priority_queue<Call, std::vector<Call>, std::greater<>> calls;
  for (int i = 0; i < instances; ++i) {
    fleet.emplace_back(WatchTerms{.push_grace_ms = {}, .instances = static_cast<double>(instances)},
                       seed * 1000 + static_cast<std::uint64_t>(i));
    calls.push({fleet.back().backoff_ms(), i});
  }
  double last = 0;
  while (!calls.empty()) {
    auto [at, who] = calls.top();
    calls.pop();
    if (at > outage_ms + 60000) return at - outage_ms;  // never again
    auto& pacing = fleet[static_cast<std::size_t>(who)];
    auto [done, answered] = discovery.call(at, pacing.answer_limit_ms());
    if (answered)
      last = std::max(last, done);
    else
      calls.push({done + pacing.backoff_ms(), who});
  }
  if (wasted) *wasted = discovery.wasted;
  return last - outage_ms;
}

constexpr double change_binds_ms = 6000;

// A fleet that called again soon after each failure kept a queue of calls which nobody waited for any more,
// and had no answer long after the outage. 350 calls take 4.2 s here, of the 6 s in which a change has to be
// known.
TEST(WatchPacing, AFleetThatPollsIsBackWithinSixSecondsOfAnOutage) {
  for (int instances : {1, 3, 30, 100, 350})
    for (double outage_ms = 2000; outage_ms <= 12000; outage_ms += 500)
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        int wasted = 0;
        EXPECT_LT(recovery_ms(instances, 12, outage_ms, seed, &wasted), change_binds_ms)
            << instances << " instances, out for " << outage_ms << " ms, seed " << seed;
        EXPECT_EQ(wasted, 0);
      }
}

// Beyond what discovery bears in 6 s the fleet is late by that, and no later: it gets out of the overload by
// itself.
TEST(WatchPacing, ALargerFleetThanDiscoveryBearsRecoversAllTheSame) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    constexpr int instances = 700;
    constexpr double call_ms = 20;
    EXPECT_LT(recovery_ms(instances, call_ms, 8000, seed), 3 * instances * call_ms);
  }
}

// The longest a change can stay unknown: a call begun before the return, the longest backoff, an answer.
TEST(WatchPacing, NoBackoffIsLongerThanAChangeCanWait) {
  for (double instances : {1.0, 30.0, 350.0, 100000.0}) {
    WatchPacing pacing({.push_grace_ms = {}, .instances = instances}, 1);
    for (int i = 0; i < 5; ++i) {
      double retry_after_ms = i % 2 == 0 ? 0 : 60000;
      EXPECT_LE(pacing.answer_limit_ms() + pacing.backoff_ms(retry_after_ms) + 500, change_binds_ms);
    }
    EXPECT_LE(pacing.first_call_ms(), change_binds_ms);
  }
}

// One configuration moves a whole fleet: discovery spends half of its time at most on complete lists,
// whatever the size of the fleet, and a few balancers have theirs soon.
TEST(WatchPacing, CompleteListsAfterAMoveAreSpreadOverTheFleet) {
  constexpr double complete_list_ms = 200;
  for (int instances : {1, 3, 30, 350}) {
    std::vector<double> fetched_at;
    for (int i = 0; i < instances; ++i) {
      WatchPacing pacing({.push_grace_ms = {}, .instances = static_cast<double>(instances)},
                         static_cast<std::uint64_t>(i) + 1);
      fetched_at.push_back(pacing.complete_list_delay_ms());
    }
    std::sort(fetched_at.begin(), fetched_at.end());
    EXPECT_GT(fetched_at.front(), 0);
    EXPECT_LE(fetched_at.back(), 400.0 * instances);
    constexpr int in_a_row = 30;
    for (std::size_t i = in_a_row; i < fetched_at.size(); ++i)
      EXPECT_GT(fetched_at[i] - fetched_at[i - in_a_row], in_a_row * complete_list_ms / 4);
  }
  WatchPacing pushed({.push_grace_ms = 200, .instances = 350}, 1);
  EXPECT_EQ(pushed.complete_list_delay_ms(), 0);
}

// A few balancers wait no longer than they did; with pushed lists nothing depends on the fleet.
TEST(WatchPacing, AFewCallAtOnceAndPushedListsAreAskedForWithinTheGrace) {
  WatchPacing few({.push_grace_ms = {}, .instances = 3}, 1);
  EXPECT_EQ(few.first_call_ms(), 0);
  EXPECT_LE(few.backoff_ms(), 125);
  WatchPacing pushed({.push_grace_ms = 200, .instances = 350}, 1);
  EXPECT_EQ(pushed.first_call_ms(), 0);
  for (int i = 0; i < 50; ++i) EXPECT_LE(pushed.backoff_ms(), 0.25 * 200 * 1.25);
}

}  // namespace
}  // namespace meadowgauge::proxy
