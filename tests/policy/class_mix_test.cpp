// Mixes of request classes: without a fault no class is starved by the others, and in an overload the classes
// of least weight for their latency are rejected first.
#include "policy/class_mix.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace meadowgauge::test {
namespace {

double worst(const MixServed& ours, const MixServed& plain) {
  double least = never;
  for (std::size_t i = 0; i < ours.asked.size(); ++i)
    if (ours.asked[i] > 30 && plain.in_time[i] > 0.3)
      least = std::min(least, ours.in_time[i] / plain.in_time[i]);
  return least;
}

std::string describe(const Mix& mix, const MixServed& ours, const MixServed& plain) {
  std::string text =
      std::to_string(mix.balancers) + " balancers, " + std::to_string(mix.servers) + " servers";
  for (std::size_t i = 0; i < ours.asked.size(); ++i)
    text += "\n  work " + std::to_string(mix.classes[i].work_ms) + " target " +
            std::to_string(mix.classes[i].target_ms) + ": in time " + std::to_string(ours.in_time[i]) +
            ", rejected " + std::to_string(ours.rejected[i]) + ", plain " + std::to_string(plain.in_time[i]);
  return text;
}

MixServed run_policy(const Mix& mix) { return MixDay(mix, MixDay::Mode::module).play(); }
MixServed run_plain(const Mix& mix) { return MixDay(mix, MixDay::Mode::plain).play(); }

// Guards against a limit that follows the in-flight number of the class of most weight alone and never grows
// for the others.
TEST(ClassMix, TheBoundHeldByTheBestClassGrowsForTheOthers) {
  Mix mix{.classes =
              {{.share = 0.2, .work_ms = 290, .target_ms = 2800, .timeout_ms = 7000, .priority_weight = 6.3},
               {.share = 0.5, .work_ms = 40, .target_ms = 600, .timeout_ms = 1500, .priority_weight = 5.6},
               {.share = 0.3, .work_ms = 72, .target_ms = 600, .timeout_ms = 1500, .priority_weight = 4.9}},
          .balancers = 2,
          .servers = 12,
          .slots = 20,
          .load = 0.45};
  for (mix.seed = 1; mix.seed <= 3; ++mix.seed) {
    auto ours = run_policy(mix), plain = run_plain(mix);
    EXPECT_GT(worst(ours, plain), 0.7) << describe(mix, ours, plain);
  }
}

// A class of 8 ms with an objective of 60 ms beside classes of 250 ms: the tier's mean latency is over that
// objective without any overload.
TEST(ClassMix, AShortTargetAmongLongOnesIsNotOverload) {
  Mix mix{.classes =
              {{.share = 0.4, .work_ms = 8, .target_ms = 60, .timeout_ms = 250, .priority_weight = 2},
               {.share = 0.6, .work_ms = 250, .target_ms = 3000, .timeout_ms = 8000, .priority_weight = 2}},
          .balancers = 8,
          .servers = 16,
          .slots = 16,
          .load = 0.4};
  for (mix.seed = 1; mix.seed <= 3; ++mix.seed) {
    auto ours = run_policy(mix), plain = run_plain(mix);
    EXPECT_GT(worst(ours, plain), 0.7) << describe(mix, ours, plain);
  }
}

Mix drawn(std::uint64_t seed) {
  std::mt19937 rng(static_cast<std::uint32_t>(seed * 7919));
  auto u = [&] { return static_cast<double>(rng()) / 4294967296.0; };
  auto between = [&](double a, double b) { return a * std::pow(b / a, u()); };
  Mix m{.seconds = 20, .counted_from_s = 10, .seed = seed};
  const char *repeats[] = {"idempotent", "deduplicated", "at_most_once"}, *groups[] = {"all", "zone", "cell"};
  double work = 0, shares = 0;
  for (int n = 2 + static_cast<int>(u() * 4); n > 0; --n) {
    MixClass c{.share = between(0.05, 0.6), .work_ms = between(5, 400), .spread = 0.3 + u() * 0.7};
    c.target_ms = c.work_ms * between(3, 30);
    c.timeout_ms = c.target_ms * between(1.5, 4);
    c.priority_weight = between(1, 20);
    c.repeat = repeats[static_cast<int>(u() * 3)];
    c.group = groups[static_cast<int>(u() * 3)];
    work += c.share * c.work_ms, shares += c.share;
    m.classes.push_back(c);
  }
  m.balancers = static_cast<int>(between(1, 350));
  m.servers = static_cast<int>(between(4, 60));
  m.slots = static_cast<int>(between(1, 40));
  m.zones = 1 + static_cast<int>(u() * 4);
  m.stages = 1 + static_cast<int>(u() * 4);
  m.attempts = 1 + static_cast<int>(u() * 4);
  m.load = 0.2 + 0.3 * u();
  m.uneven = u() * 0.9;
  m.copies = u() < 0.5;
  double rate = m.load * m.servers * m.slots * shares / work;  // a ms
  if (rate > 3) m.servers = std::max(3, static_cast<int>(m.servers * 3 / rate));
  return m;
}

TEST(ClassMix, NoClassHasUnderHalfOfAPlainPolicysShare) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    auto mix = drawn(seed);
    auto ours = run_policy(mix), plain = run_plain(mix);
    EXPECT_GT(worst(ours, plain), 0.5) << "seed " << seed << ", " << describe(mix, ours, plain);
  }
}

// 1.5 times the servers' capacity; two classes that differ in priority weight alone.
TEST(ClassMix, OverloadRejectsTheClassOfLessWeight) {
  Mix mix{
      .classes = {{.share = 0.5, .work_ms = 60, .target_ms = 600, .timeout_ms = 2000, .priority_weight = 8},
                  {.share = 0.5, .work_ms = 60, .target_ms = 600, .timeout_ms = 2000, .priority_weight = 2}},
      .balancers = 6,
      .servers = 12,
      .slots = 4,
      .load = 0.5,
      .surge = 1.5,
      .seconds = 30,
      .counted_from_s = 21};
  double dear = 0, cheap = 0;
  for (mix.seed = 1; mix.seed <= 4; ++mix.seed) {
    auto ours = run_policy(mix);
    dear += ours.in_time[0] / 4, cheap += ours.in_time[1] / 4;
  }
  EXPECT_GT(dear, 0.6);
  EXPECT_GT(dear, 1.3 * cheap);
}

// Servers execute two requests at a time in order, so that a short one waits behind long ones. A hedged
// request is late only if a second server is busy too, and costs a short class little.
TEST(ClassMix, ShortRequestsAreHedgedByTheirClassLatency) {
  Mix mix{.classes =
              {{.share = 0.3, .work_ms = 4, .target_ms = 50, .timeout_ms = 150, .priority_weight = 1},
               {.share = 0.7, .work_ms = 120, .target_ms = 1500, .timeout_ms = 4000, .priority_weight = 3}},
          .balancers = 30,
          .servers = 20,
          .slots = 2,
          .load = 0.5,
          .seconds = 30,
          .counted_from_s = 12};
  double copied = 0, alone = 0, longer = 0;
  for (mix.seed = 1; mix.seed <= 3; ++mix.seed) {
    mix.copies = true;
    auto with = run_policy(mix);
    mix.copies = false;
    auto without = run_policy(mix);
    copied += with.in_time[0] / 3, alone += without.in_time[0] / 3;
    longer += (with.in_time[1] - without.in_time[1]) / 3;
  }
  EXPECT_GT(copied, alone + 0.1);
  EXPECT_GT(longer, -0.03);
}

// Thirty requests of the short class of less weight take as long as one of the class of more weight.
TEST(ClassMix, OverloadRejectsLeastWeightForLatency) {
  Mix mix{.classes =
              {{.share = 0.4, .work_ms = 8, .target_ms = 200, .timeout_ms = 600, .priority_weight = 1},
               {.share = 0.6, .work_ms = 240, .target_ms = 2400, .timeout_ms = 8000, .priority_weight = 3}},
          .balancers = 6,
          .servers = 12,
          .slots = 8,
          .load = 0.5,
          .surge = 1.5,
          .seconds = 30,
          .counted_from_s = 21};
  double short_ones = 0;
  for (mix.seed = 1; mix.seed <= 3; ++mix.seed) short_ones += run_policy(mix).in_time[0] / 3;
  EXPECT_GT(short_ones, 0.5);
}

}  // namespace
}  // namespace meadowgauge::test
