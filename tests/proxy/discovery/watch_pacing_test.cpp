// A simulated fleet that polls one discovery of fixed capacity during and after an outage.
#include "proxy/discovery/watch_pacing.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <vector>

namespace meadowgauge::proxy {
namespace {

// How a call ends.
struct CallResult {
  double done_ms = 0;  // time of the answer or of the failure
  bool answered = false;
};

// Answers calls in order and is silent during the outage. Calls that have timed out are processed all the
// same.
struct PolledDiscovery {
  static constexpr double timeout_ms = 2000;
  static constexpr double max_queue_ms = 4000;
  double call_ms = 0;
  double outage_start_ms = 0;
  double outage_end_ms = 0;
  double free_at_ms = 0;
  int wasted_calls = 0;

  CallResult call(double now_ms, double call_timeout_ms) {
    double limit_ms = std::min(timeout_ms, call_timeout_ms);
    if (now_ms >= outage_start_ms && now_ms < outage_end_ms) return {now_ms + limit_ms, false};
    if (free_at_ms - now_ms > max_queue_ms) return {now_ms, false};
    free_at_ms = std::max(free_at_ms, now_ms) + call_ms;
    if (free_at_ms - now_ms <= limit_ms) return {free_at_ms, true};
    ++wasted_calls;
    return {now_ms + limit_ms, false};
  }
};

struct Call {
  double at_ms;
  int balancer;
  bool operator>(const Call& other) const { return at_ms > other.at_ms; }
};

// All watches break when the outage begins. Returns the time from the end of the outage until the last watch
// is open again.
double recovery_ms(int instances, double call_ms, double outage_ms, std::uint64_t seed,
                   int* wasted_calls = nullptr) {
  PolledDiscovery discovery{.call_ms = call_ms, .outage_start_ms = 0, .outage_end_ms = outage_ms};
  std::vector<WatchPacing> fleet;
  std::priority_queue<Call, std::vector<Call>, std::greater<>> calls;
  for (int i = 0; i < instances; ++i) {
    fleet.emplace_back(
        WatchPacingSettings{.push_grace_ms = {}, .instances = static_cast<double>(instances), .place = {}},
        seed * 1000 + static_cast<std::uint64_t>(i));
    calls.push({fleet.back().backoff_ms({}), i});
  }
  double last_answer_ms = 0;
  while (!calls.empty()) {
    auto [at_ms, balancer] = calls.top();
    calls.pop();
    if (at_ms > outage_ms + 60000) return at_ms - outage_ms;  // no recovery
    auto& pacing = fleet[static_cast<std::size_t>(balancer)];
    auto [done_ms, answered] = discovery.call(at_ms, pacing.call_timeout_ms());
    if (answered)
      last_answer_ms = std::max(last_answer_ms, done_ms);
    else
      calls.push({done_ms + pacing.backoff_ms({.called_at_ms = at_ms, .failed_at_ms = done_ms}), balancer});
  }
  if (wasted_calls) *wasted_calls = discovery.wasted_calls;
  return last_answer_ms - outage_ms;
}

constexpr double max_change_delay_ms = 6000;

// Guards against calls that time out in discovery's queue and delay the recovery. 350 calls take 4.2 s here,
// of the 6 s within which a change must be received.
TEST(WatchPacing, PollingFleetRecoversWithinSixSeconds) {
  for (int instances : {1, 3, 30, 100, 350})
    for (double outage_ms = 2000; outage_ms <= 12000; outage_ms += 500)
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        int wasted_calls = 0;
        EXPECT_LT(recovery_ms(instances, 12, outage_ms, seed, &wasted_calls), max_change_delay_ms)
            << instances << " instances, out for " << outage_ms << " ms, seed " << seed;
        EXPECT_EQ(wasted_calls, 0);
      }
}

// A fleet above discovery's capacity exceeds the 6 s, but recovers from the overload without intervention.
TEST(WatchPacing, FleetAboveDiscoveryCapacityRecovers) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    constexpr int instances = 700;
    constexpr double call_ms = 20;
    EXPECT_LT(recovery_ms(instances, call_ms, 8000, seed), 3 * instances * call_ms);
  }
}

// A change is received at the latest with the answer to the call after the one that just missed the change.
// The first failed call is not made at the balancer's place in the frame.
TEST(WatchPacing, BackoffKeepsChangesInTime) {
  for (double instances : {1.0, 30.0, 350.0, 100000.0}) {
    WatchPacing pacing({.push_grace_ms = {}, .instances = instances, .place = {}}, 1);
    double called_at_ms = 0;
    for (int i = 0; i < 5; ++i) {
      double retry_after_ms = i % 2 == 0 ? 0 : 60000;
      double call_takes_ms = pacing.call_timeout_ms();
      double failed_at_ms = called_at_ms + call_takes_ms;
      double backoff_ms = pacing.backoff_ms({called_at_ms, failed_at_ms, retry_after_ms});
      EXPECT_LE(call_takes_ms + backoff_ms + 500, max_change_delay_ms);
      called_at_ms = failed_at_ms + backoff_ms;
    }
    EXPECT_LE(pacing.first_call_delay_ms(0), max_change_delay_ms);
  }
}

// Guards against an overload when half of a fleet restarts while discovery returns from an outage: the calls
// of new processes and of those whose watches broke must together stay below discovery's capacity, else none
// is answered.
TEST(WatchPacing, StartsAndBrokenWatchesDoNotOverloadDiscovery) {
  constexpr int instances = 240;
  constexpr double outage_ms = 8000;
  auto replaced_at_ms = [](int number) { return outage_ms + 2000 + 12.0 * number; };
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    PolledDiscovery discovery{.call_ms = 20, .outage_start_ms = 0, .outage_end_ms = outage_ms};
    auto terms = [](int number) {
      return WatchPacingSettings{
          .push_grace_ms = {}, .instances = instances, .place = number / double{instances}};
    };
    std::vector<WatchPacing> fleet;
    std::priority_queue<Call, std::vector<Call>, std::greater<>> calls;
    std::vector<double> started_at_ms(instances, 0);
    for (int i = 0; i < instances; ++i) {
      fleet.emplace_back(terms(i), seed * 1000 + static_cast<std::uint64_t>(i));
      calls.push({fleet.back().backoff_ms({}), i});
    }
    // Each balancer with an odd number is replaced by a second process 2 to 5 s after the end of the outage.
    for (int i = 1; i < instances; i += 2) {
      auto process = static_cast<int>(fleet.size());
      fleet.emplace_back(terms(i), seed * 1000 + static_cast<std::uint64_t>(process));
      started_at_ms.push_back(replaced_at_ms(i));
      calls.push({started_at_ms.back() + fleet.back().first_call_delay_ms(started_at_ms.back()), process});
    }
    double last_answer_ms = 0;
    while (!calls.empty()) {
      auto [at_ms, process] = calls.top();
      calls.pop();
      auto index = static_cast<std::size_t>(process);
      bool replaced = process < instances && process % 2 == 1 && at_ms >= replaced_at_ms(process);
      if (replaced) continue;
      auto [done_ms, answered] = discovery.call(at_ms, fleet[index].call_timeout_ms());
      if (answered)
        last_answer_ms = std::max(last_answer_ms, done_ms - std::max(started_at_ms[index], outage_ms));
      else
        calls.push(
            {done_ms + fleet[index].backoff_ms({.called_at_ms = at_ms, .failed_at_ms = done_ms}), process});
    }
    EXPECT_EQ(discovery.wasted_calls, 0) << "seed " << seed;
    EXPECT_LT(last_answer_ms, max_change_delay_ms) << "seed " << seed;
  }
}

// Guards against a busy loop: the call after one that was refused at once at the balancer's place must not
// follow at the same time.
TEST(WatchPacing, CallRefusedAtItsPlaceIsNotRepeatedAtOnce) {
  constexpr double unix_time_ms = 1764764764000;
  for (int number = 0; number < 97; ++number) {
    WatchPacing pacing({.push_grace_ms = {}, .instances = 291, .place = number / 97.0}, 1);
    static_cast<void>(pacing.backoff_ms({}));
    double place_ms = unix_time_ms + pacing.first_call_delay_ms(unix_time_ms);
    for (double at_ms : {std::nextafter(place_ms, 0), place_ms, place_ms + 0.01})
      EXPECT_GE(pacing.backoff_ms({.called_at_ms = at_ms, .failed_at_ms = at_ms}), 100) << number;
  }
}

// Guards against an overload when a reload moves a whole fleet at once: for any fleet size discovery spends
// at most half of its time on complete lists, and a small fleet receives them within about a second.
TEST(WatchPacing, CompleteListsAfterAMoveAreSpread) {
  constexpr double complete_list_ms = 200;
  for (int instances : {1, 3, 30, 350}) {
    std::vector<double> fetched_at_ms;
    for (int i = 0; i < instances; ++i) {
      WatchPacing pacing({.push_grace_ms = {}, .instances = static_cast<double>(instances), .place = {}},
                         static_cast<std::uint64_t>(i) + 1);
      fetched_at_ms.push_back(pacing.complete_list_delay_ms());
    }
    std::sort(fetched_at_ms.begin(), fetched_at_ms.end());
    EXPECT_GT(fetched_at_ms.front(), 0);
    EXPECT_LE(fetched_at_ms.back(), 400.0 * instances);
    constexpr int window_calls = 30;
    for (std::size_t i = window_calls; i < fetched_at_ms.size(); ++i)
      EXPECT_GT(fetched_at_ms[i] - fetched_at_ms[i - window_calls], window_calls * complete_list_ms / 4);
  }
  WatchPacing pushed({.push_grace_ms = 200, .instances = 350, .place = {}}, 1);
  EXPECT_EQ(pushed.complete_list_delay_ms(), 0);
}

// A small fleet calls without delay. The pacing of pushed lists does not depend on the size of the fleet.
TEST(WatchPacing, SmallFleetsAndPushedListsCallWithoutDelay) {
  WatchPacing small_fleet({.push_grace_ms = {}, .instances = 3, .place = {}}, 1);
  EXPECT_EQ(small_fleet.first_call_delay_ms(0), 0);
  EXPECT_LE(small_fleet.backoff_ms({}), 125);
  WatchPacing pushed({.push_grace_ms = 200, .instances = 350, .place = {}}, 1);
  EXPECT_EQ(pushed.first_call_delay_ms(0), 0);
  for (int i = 0; i < 50; ++i) EXPECT_LE(pushed.backoff_ms({}), 0.25 * 200 * 1.25);
}

}  // namespace
}  // namespace meadowgauge::proxy
