// A simulated fleet that polls a discovery of fixed capacity and whose open watches fall silent together.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "proxy/discovery/watch_pacing.hpp"

namespace meadowgauge::proxy {
namespace {

constexpr double max_change_delay_ms = 6000;
constexpr double line_interval_ms = 2000;  // interval of the empty lines on an idle watch
constexpr double list_cost_ms = 20;        // discovery sends 50 lists per second
constexpr double frame_ms = 5000;          // frame in which a large fleet's new processes call
constexpr double unix_time_ms = 1764764764000;

// Answers calls in order. A call that waits too long is refused, but its work is done all the same.
struct QueueingDiscovery {
  static constexpr double max_wait_ms = 2000;
  double free_at_ms = 0;
  int wasted_calls = 0;

  // Returns the time of the answer or of the refusal.
  double call(double now_ms, bool& answered) {
    free_at_ms = std::max(free_at_ms, now_ms) + list_cost_ms;
    answered = free_at_ms - now_ms <= max_wait_ms;
    if (answered) return free_at_ms;
    ++wasted_calls;
    return now_ms + max_wait_ms;
  }
};

// When the watches received their last lines: all at the start of the silence, or evenly over the line
// interval before it.
enum class LastLines : std::uint8_t { together, even };

// The fleet of a simulation.
struct SilentFleet {
  int instances = 1;
  LastLines last_lines = LastLines::together;
  int restarts = 0;  // balancers that restart while the others' watches are silent
};

// The result of a simulation.
struct Recovery {
  double latest_list_ms = 0;  // from the start of the silence, or of the restarted process
  int late = 0;               // balancers whose list comes after max_change_delay_ms
  int wasted_calls = 0;
};

// The silence begins at `unix_time_ms`, for all watches at once.
class Simulation {
 public:
  Simulation(const SilentFleet& fleet, std::uint64_t seed) : random_(static_cast<std::uint32_t>(seed)) {
    for (int number = 0; number < fleet.instances; ++number) {
      double place = number / static_cast<double>(fleet.instances);
      pacing_.emplace_back(
          WatchPacingSettings{
              .push_grace_ms = {}, .instances = static_cast<double>(fleet.instances), .place = place},
          seed * 1000 + static_cast<std::uint64_t>(number));
      // Restarts are evenly distributed over the balancers' numbers.
      bool restarted =
          number * fleet.restarts / fleet.instances != (number + 1) * fleet.restarts / fleet.instances;
      begin(number, restarted, fleet.last_lines);
    }
  }

  Recovery run() {
    Recovery result;
    while (!calls_.empty()) {
      auto [at_ms, number] = calls_.top();
      calls_.pop();
      bool answered = false;
      double done_ms = discovery_.call(at_ms, answered);
      auto index = static_cast<std::size_t>(number);
      if (!answered) {
        double backoff_ms = pacing_[index].backoff_ms({.called_at_ms = at_ms, .failed_at_ms = done_ms});
        calls_.push({done_ms + backoff_ms, number});
        continue;
      }
      double delay_ms = done_ms - change_known_from_ms_[index];
      result.latest_list_ms = std::max(result.latest_list_ms, delay_ms);
      if (delay_ms > max_change_delay_ms) ++result.late;
    }
    result.wasted_calls = discovery_.wasted_calls;
    return result;
  }

 private:
  struct Call {
    double at_ms;
    int number;
    bool operator>(const Call& other) const { return at_ms > other.at_ms; }
  };

  double random_fraction() { return std::uniform_real_distribution<>()(random_); }

  void begin(int number, bool restarted, LastLines last_lines) {
    auto& pacing = pacing_.back();
    if (restarted) {
      double started_ms = unix_time_ms + random_fraction() * frame_ms;
      change_known_from_ms_.push_back(started_ms);
      calls_.push({started_ms + pacing.first_call_delay_ms(started_ms), number});
      return;
    }
    double since_line_ms = last_lines == LastLines::even ? random_fraction() * line_interval_ms : 0;
    double last_line_ms = unix_time_ms - since_line_ms;
    change_known_from_ms_.push_back(unix_time_ms);
    calls_.push({last_line_ms + pacing.silence_timeout_ms(last_line_ms), number});
    pacing.record_silence();
  }

  std::mt19937 random_;
  QueueingDiscovery discovery_;
  std::vector<WatchPacing> pacing_;
  std::vector<double> change_known_from_ms_;
  std::priority_queue<Call, std::vector<Call>, std::greater<>> calls_;
};

void expect_lists_in_time(const SilentFleet& fleet) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    auto recovery = Simulation(fleet, seed).run();
    EXPECT_LE(recovery.latest_list_ms, max_change_delay_ms)
        << fleet.instances << " balancers, seed " << seed << ", late: " << recovery.late;
    EXPECT_EQ(recovery.wasted_calls, 0) << fleet.instances << " balancers, seed " << seed;
  }
}

// Guards against lists that are received later than the 6 s allowed for a change. The last lines came
// together, so the minimum silence of 2.72 s and the time for the fleet's lists must fit into the 6 s.
TEST(SilentWatchPacing, ListsAreInTimeAfterSimultaneousLastLines) {
  for (int instances : {1, 3, 30, 60, 100, 160})
    expect_lists_in_time({.instances = instances, .last_lines = LastLines::together});
}

// The same for watches that were opened one after another, so that their lines come at different times.
TEST(SilentWatchPacing, ListsAreInTimeAfterEvenlySpacedLastLines) {
  for (int instances : {1, 3, 30, 100, 160, 210})
    expect_lists_in_time({.instances = instances, .last_lines = LastLines::even});
}

// Guards against an overload by new processes and by replaced watches together: both call at the balancer's
// place.
TEST(SilentWatchPacing, StartsAndSilentWatchesDoNotOverloadDiscovery) {
  for (int instances : {30, 100, 160})
    expect_lists_in_time(
        {.instances = instances, .last_lines = LastLines::together, .restarts = instances / 2});
}

// Guards against wasted calls of a fleet above discovery's capacity: 350 lists take discovery 7 s, so some
// are late in any case. The last list must come as soon as discovery can send it.
TEST(SilentWatchPacing, FleetAboveCapacityWastesNoCall) {
  constexpr double min_silence_ms = 2720;
  constexpr double margin_ms = 300;
  for (int instances : {250, 300, 350, 900})
    for (auto last_lines : {LastLines::together, LastLines::even})
      for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        auto recovery = Simulation({.instances = instances, .last_lines = last_lines}, seed).run();
        EXPECT_EQ(recovery.wasted_calls, 0) << instances << " balancers, seed " << seed;
        EXPECT_LE(recovery.latest_list_ms, min_silence_ms + instances * list_cost_ms + margin_ms)
            << instances << " balancers, seed " << seed;
      }
}

// In a small fleet an answer may take the whole call timeout and still be in time.
TEST(SilentWatchPacing, SmallFleetHasTimeForASlowAnswer) {
  for (double instances : {1.0, 3.0, 10.0, 30.0, 54.0})
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      WatchPacing pacing({.push_grace_ms = {}, .instances = instances, .place = {}}, seed);
      EXPECT_LE(pacing.silence_timeout_ms(unix_time_ms) + pacing.call_timeout_ms(), max_change_delay_ms);
    }
}

// A watch whose line is half a second late does not count as silent.
TEST(SilentWatchPacing, ALateLineIsNotSilence) {
  for (double instances : {1.0, 30.0, 350.0})
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      WatchPacing pacing({.push_grace_ms = {}, .instances = instances, .place = {}}, seed);
      EXPECT_GE(pacing.silence_timeout_ms(unix_time_ms), line_interval_ms + 500);
    }
}

}  // namespace
}  // namespace meadowgauge::proxy
