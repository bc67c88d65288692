// Slow start: how many requests a warming endpoint gets.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fixtures/policy_harness.hpp"

namespace meadowgauge::test {
namespace {

TEST(SlowStart, LimitsWhatANewServerGets) {
  RuleSettings rules;
  PolicyHarness w(rules, 5, 3);
  auto round = [&](int rounds) {
    for (int i = 0; i < rounds; ++i) {
      int id = w.submit(0, 5000);
      w.pass(10);
      w.end(id, 0, Outcome::succeeded);
    }
  };
  round(1000);
  w.entries[0].up_since_ms = w.now_ms;
  w.update_endpoints(EndpointListUpdate::delta, {w.entries[0]});
  int before = w.sends[0];
  round(static_cast<int>(rules.overload_window_ms / 10));
  EXPECT_GT(w.sends[0] - before, 0);
  EXPECT_LT(w.sends[0] - before,
            rules.overload_factor * rules.initial_share * 0.02 *
                rules.overload_window_ms);  // 0.02 a ms: the rate of a warm endpoint
}

// Whole tokens at each of a thousand balancers would overload an endpoint at its start.
TEST(SlowStart, AThousandBalancersSendLittleToOneThatStarts) {
  int sent = 0, usual = 0;
  for (int me = 0; me < 200; ++me) {
    PolicyHarness w({}, 10, 100 + static_cast<std::uint64_t>(me),
                    {{"replicas_of_me", "200"}, {"my_number", std::to_string(me)}});
    auto request = [&] {
      int id = w.submit(0, 5000);
      w.pass(50);
      w.end(id, 0, Outcome::succeeded);
    };
    for (int i = 0; i < 10; ++i) request(), w.pass(250);
    usual += w.sends[0];
    w.entries[0].up_since_ms = w.now_ms;
    w.update_endpoints(EndpointListUpdate::full, w.entries);
    w.sends.clear();
    for (int i = 0; i < 5; ++i) request(), w.pass(250);
    sent += w.sends[0];
  }
  // At its start an endpoint has 0.3 of its capacity; by the rate of warm ones it would get half of `usual`.
  EXPECT_LT(sent, 0.5 * usual * 0.5);
  EXPECT_GT(sent, 0);
}

// The budget holds for the sum of all balancers, for any number of them and uneven traffic: in any window a
// warming endpoint (one of ten, `rate` requests a ms in all) gets at most its budget N and 2 * sqrt(N) + 2
// for chance.
TEST(SlowStart, TheSumOfAllBalancersKeepsToTheBudget) {
  struct Case {
    int balancers;
    double rate, factor, share;
  };
  for (auto [balancers, rate, factor, share] : {Case{1, 0.08, 4, 0.3},
                                                {3, 0.08, 4, 0.3},
                                                {20, 0.08, 4, 0.3},
                                                {30, 0.08, 4, 0.3},
                                                {350, 0.08, 4, 0.3},
                                                {350, 0.01, 4, 0.3},
                                                {3, 0.16, 2, 0.18},
                                                {20, 0.16, 2, 0.18},
                                                {30, 0.16, 2, 0.18},
                                                {350, 0.16, 2, 0.18}}) {
    RuleSettings rules{.initial_share = share, .overload_factor = factor};
    std::vector<std::unique_ptr<PolicyHarness>> all;
    std::mt19937 rng(static_cast<std::uint32_t>(balancers));
    for (int me = 0; me < balancers; ++me)
      all.push_back(std::make_unique<PolicyHarness>(
          rules, 10, 100 + static_cast<std::uint64_t>(me),
          Settings{{"replicas_of_me", std::to_string(balancers)}, {"my_number", std::to_string(me)}}));
    std::vector<double> sends;
    double began = 0;
    auto step = [&, rate = rate] {
      for (auto& w : all) w->pass(5);
      for (double left = rate * 5 + static_cast<double>(rng() % 1000) / 1000.0; left >= 1; --left) {
        // A third of the balancers have two thirds of the traffic.
        auto third = std::max<std::size_t>(1, all.size() / 3);
        auto& w = *all[rng() % 3 < 2 ? rng() % third : rng() % all.size()];
        auto before = w.sends[0];
        int id = w.submit(0, 5000);
        if (began > 0 && w.sends[0] > before) sends.push_back(w.now_ms);
        w.end(id, 0, Outcome::succeeded);
      }
    };
    while (all[0]->now_ms < 108000) step();
    began = all[0]->now_ms;
    for (auto& w : all) {
      w->entries[0].up_since_ms = began;
      w->update_endpoints(EndpointListUpdate::full, w->entries);
    }
    while (all[0]->now_ms < began + 8000) step();
    if (rate > 0.05) {
      EXPECT_GT(sends.size(), 2u) << balancers;
    }
    for (std::size_t i = 0, j = 0; j < sends.size(); ++j) {
      while (sends[j] - sends[i] >= rules.overload_window_ms) ++i;
      double grown = rules.initial_share +
                     (1 - rules.initial_share) * std::min(1.0, (sends[i] - began) / rules.slow_start_ms);
      double n = rate / 10 * rules.overload_window_ms * rules.overload_factor * grown;
      EXPECT_LE(static_cast<double>(j - i + 1), n + 2 * std::sqrt(n) + 2)
          << balancers << " at " << sends[j] - began;
    }
  }
}

// With no warm endpoint the budgets never fill: requests go one at a time.
TEST(SlowStart, TierOfNewServersIsUsedOneRequestAtATime) {
  PolicyHarness w({}, 3, 5);
  for (auto& e : w.entries) e.up_since_ms = w.now_ms - 1;
  w.update_endpoints(EndpointListUpdate::full, w.entries);
  w.stream(0, 50, 2000, [](int) { return 20.0; });
  EXPECT_GT(w.sends[0] + w.sends[1] + w.sends[2], 30);
  EXPECT_EQ(w.check.breach, "");
}

// A warming endpoint may still work on a request whose client has disconnected: it pauses before the next.
TEST(SlowStart, LoneServerRestsAfterACancelledRequest) {
  PolicyHarness w({}, 1, 5);
  w.entries[0].up_since_ms = w.now_ms - 1;
  w.update_endpoints(EndpointListUpdate::full, w.entries);
  for (int i = 0; i < 20; ++i) {
    w.leave(w.submit(0, 5000));
    w.pass(20);
  }
  EXPECT_EQ(w.check.breach, "");
  EXPECT_LE(w.sends[0], 2);
}

}  // namespace
}  // namespace meadowgauge::test
