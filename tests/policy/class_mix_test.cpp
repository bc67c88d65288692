// Tests of the policy with mixes of request classes. Without faults no class is starved by the others; in an
// overload the classes with the least priority weight per latency are rejected first.
#include "policy/class_mix.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace meadowgauge::test {
namespace {

// The smallest ratio, over all classes, of the share answered in time to that of the baseline. Classes with
// few requests, or a baseline share of at most 0.3, are left out.
double min_ratio_to_baseline(const MixResult& result, const MixResult& baseline) {
  double min_ratio = never;
  for (std::size_t i = 0; i < result.request_counts.size(); ++i)
    if (result.request_counts[i] > 30 && baseline.in_time[i] > 0.3)
      min_ratio = std::min(min_ratio, result.in_time[i] / baseline.in_time[i]);
  return min_ratio;
}

std::string describe(const Mix& mix, const MixResult& result, const MixResult& baseline) {
  std::string description =
      std::to_string(mix.balancers) + " balancers, " + std::to_string(mix.servers) + " servers";
  for (std::size_t i = 0; i < result.request_counts.size(); ++i)
    description += "\n  work " + std::to_string(mix.classes[i].work_ms) + " target " +
                   std::to_string(mix.classes[i].target_ms) + ": in time " +
                   std::to_string(result.in_time[i]) + ", rejected " + std::to_string(result.rejected[i]) +
                   ", baseline " + std::to_string(baseline.in_time[i]);
  return description;
}

MixResult run_policy(const Mix& mix) { return MixSimulation(mix, MixSimulation::Mode::full_policy).run(); }
MixResult run_baseline(const Mix& mix) { return MixSimulation(mix, MixSimulation::Mode::baseline).run(); }

// Guards against a limit that follows only the in-flight number of the class with the most weight and never
// grows for the other classes.
TEST(ClassMix, LimitGrowsForClassesOfLessWeight) {
  Mix mix{.classes =
              {{.share = 0.2, .work_ms = 290, .target_ms = 2800, .timeout_ms = 7000, .priority_weight = 6.3},
               {.share = 0.5, .work_ms = 40, .target_ms = 600, .timeout_ms = 1500, .priority_weight = 5.6},
               {.share = 0.3, .work_ms = 72, .target_ms = 600, .timeout_ms = 1500, .priority_weight = 4.9}},
          .balancers = 2,
          .servers = 12,
          .slots_per_server = 20,
          .load = 0.45};
  for (mix.seed = 1; mix.seed <= 3; ++mix.seed) {
    auto result = run_policy(mix), baseline = run_baseline(mix);
    EXPECT_GT(min_ratio_to_baseline(result, baseline), 0.7) << describe(mix, result, baseline);
  }
}

// A class of 8 ms with an objective of 60 ms shares the tier with a class of 250 ms. The tier's mean latency
// exceeds that objective although there is no overload; the limiter must not reject requests for that.
TEST(ClassMix, ShortTargetBesideLongClassIsNotOverload) {
  Mix mix{.classes =
              {{.share = 0.4, .work_ms = 8, .target_ms = 60, .timeout_ms = 250, .priority_weight = 2},
               {.share = 0.6, .work_ms = 250, .target_ms = 3000, .timeout_ms = 8000, .priority_weight = 2}},
          .balancers = 8,
          .servers = 16,
          .slots_per_server = 16,
          .load = 0.4};
  for (mix.seed = 1; mix.seed <= 3; ++mix.seed) {
    auto result = run_policy(mix), baseline = run_baseline(mix);
    EXPECT_GT(min_ratio_to_baseline(result, baseline), 0.7) << describe(mix, result, baseline);
  }
}

// A random mix that depends on the seed only.
Mix random_mix(std::uint64_t seed) {
  std::mt19937 rng(static_cast<std::uint32_t>(seed * 7919));
  auto uniform = [&] { return static_cast<double>(rng()) / 4294967296.0; };
  auto log_uniform = [&](double a, double b) { return a * std::pow(b / a, uniform()); };
  Mix generated{.seconds = 20, .measure_from_s = 10, .seed = seed};
  const char *repeats[] = {"idempotent", "deduplicated", "at_most_once"}, *groups[] = {"all", "zone", "cell"};
  double sum_of_work = 0, sum_of_shares = 0;
  for (int n = 2 + static_cast<int>(uniform() * 4); n > 0; --n) {
    MixClass mix_class{
        .share = log_uniform(0.05, 0.6), .work_ms = log_uniform(5, 400), .spread = 0.3 + uniform() * 0.7};
    mix_class.target_ms = mix_class.work_ms * log_uniform(3, 30);
    mix_class.timeout_ms = mix_class.target_ms * log_uniform(1.5, 4);
    mix_class.priority_weight = log_uniform(1, 20);
    mix_class.repeat = repeats[static_cast<int>(uniform() * 3)];
    mix_class.group = groups[static_cast<int>(uniform() * 3)];
    sum_of_work += mix_class.share * mix_class.work_ms, sum_of_shares += mix_class.share;
    generated.classes.push_back(mix_class);
  }
  generated.balancers = static_cast<int>(log_uniform(1, 350));
  generated.servers = static_cast<int>(log_uniform(4, 60));
  generated.slots_per_server = static_cast<int>(log_uniform(1, 40));
  generated.zones = 1 + static_cast<int>(uniform() * 4);
  generated.stages = 1 + static_cast<int>(uniform() * 4);
  generated.attempts = 1 + static_cast<int>(uniform() * 4);
  generated.load = 0.2 + 0.3 * uniform();
  generated.traffic_spread = uniform() * 0.9;
  generated.hedging_enabled = uniform() < 0.5;
  // Requests per ms.
  double rate = generated.load * generated.servers * generated.slots_per_server * sum_of_shares / sum_of_work;
  if (rate > 3) generated.servers = std::max(3, static_cast<int>(generated.servers * 3 / rate));
  return generated;
}

// Every class must be answered in time at least half as often as with the baseline.
TEST(ClassMix, NoClassGetsLessThanHalfOfTheBaseline) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    auto mix = random_mix(seed);
    auto result = run_policy(mix), baseline = run_baseline(mix);
    EXPECT_GT(min_ratio_to_baseline(result, baseline), 0.5)
        << "seed " << seed << ", " << describe(mix, result, baseline);
  }
}

// Load of 1.5 times the servers' capacity, from two classes that differ only in priority weight.
TEST(ClassMix, OverloadRejectsClassOfLessWeight) {
  Mix mix{
      .classes = {{.share = 0.5, .work_ms = 60, .target_ms = 600, .timeout_ms = 2000, .priority_weight = 8},
                  {.share = 0.5, .work_ms = 60, .target_ms = 600, .timeout_ms = 2000, .priority_weight = 2}},
      .balancers = 6,
      .servers = 12,
      .slots_per_server = 4,
      .load = 0.5,
      .surge_load = 1.5,
      .seconds = 30,
      .measure_from_s = 21};
  double high_weight = 0, low_weight = 0;
  for (mix.seed = 1; mix.seed <= 4; ++mix.seed) {
    auto result = run_policy(mix);
    high_weight += result.in_time[0] / 4, low_weight += result.in_time[1] / 4;
  }
  EXPECT_GT(high_weight, 0.6);
  EXPECT_GT(high_weight, 1.3 * low_weight);
}

// Servers execute two requests at a time, in order of arrival, so that short requests wait behind long ones.
// A hedged short request is late only if a second server is busy too, and costs little work.
TEST(ClassMix, ShortRequestsAreHedgedByTheirClassLatency) {
  Mix mix{.classes =
              {{.share = 0.3, .work_ms = 4, .target_ms = 50, .timeout_ms = 150, .priority_weight = 1},
               {.share = 0.7, .work_ms = 120, .target_ms = 1500, .timeout_ms = 4000, .priority_weight = 3}},
          .balancers = 30,
          .servers = 20,
          .slots_per_server = 2,
          .load = 0.5,
          .seconds = 30,
          .measure_from_s = 12};
  double hedged = 0, unhedged = 0, long_class_change = 0;
  for (mix.seed = 1; mix.seed <= 3; ++mix.seed) {
    mix.hedging_enabled = true;
    auto with_hedging = run_policy(mix);
    mix.hedging_enabled = false;
    auto without_hedging = run_policy(mix);
    hedged += with_hedging.in_time[0] / 3, unhedged += without_hedging.in_time[0] / 3;
    long_class_change += (with_hedging.in_time[1] - without_hedging.in_time[1]) / 3;
  }
  EXPECT_GT(hedged, unhedged + 0.1);
  EXPECT_GT(long_class_change, -0.03);
}

// Thirty requests of the short class take as long as one request of the long class. The short class has less
// weight per request but more weight per latency, so the long class must be rejected first.
TEST(ClassMix, OverloadRejectsLeastWeightForLatency) {
  Mix mix{.classes =
              {{.share = 0.4, .work_ms = 8, .target_ms = 200, .timeout_ms = 600, .priority_weight = 1},
               {.share = 0.6, .work_ms = 240, .target_ms = 2400, .timeout_ms = 8000, .priority_weight = 3}},
          .balancers = 6,
          .servers = 12,
          .slots_per_server = 8,
          .load = 0.5,
          .surge_load = 1.5,
          .seconds = 30,
          .measure_from_s = 21};
  double short_class = 0;
  for (mix.seed = 1; mix.seed <= 3; ++mix.seed) short_class += run_policy(mix).in_time[0] / 3;
  EXPECT_GT(short_class, 0.5);
}

}  // namespace
}  // namespace meadowgauge::test
