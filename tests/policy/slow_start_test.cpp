// Tests of slow start: the number of requests that a warming endpoint gets.
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

TEST(SlowStart, LimitsRequestsToANewServer) {
  RuleSettings rules;
  PolicyHarness harness(rules, 5, 3);
  auto round = [&](int rounds) {
    for (int i = 0; i < rounds; ++i) {
      int id = harness.submit(0, 5000);
      harness.pass(10);
      harness.end(id, 0, Outcome::succeeded);
    }
  };
  round(1000);
  harness.entries[0].up_since_ms = harness.now_ms;
  harness.update_endpoints(EndpointListUpdate::delta, {harness.entries[0]});
  int before = harness.sends[0];
  round(static_cast<int>(rules.overload_window_ms / 10));
  EXPECT_GT(harness.sends[0] - before, 0);
  EXPECT_LT(harness.sends[0] - before,
            rules.overload_factor * rules.initial_share * 0.02 *
                rules.overload_window_ms);  // 0.02 per ms: the rate of a warm endpoint
}

// If each of many balancers started with a whole token, their first requests together would overload an
// endpoint that has just started.
TEST(SlowStart, ManyBalancersDoNotOverloadANewEndpoint) {
  int sent = 0, sent_before_restart = 0;
  for (int replica = 0; replica < 200; ++replica) {
    PolicyHarness harness({}, 10, 100 + static_cast<std::uint64_t>(replica),
                          {{"replicas_of_me", "200"}, {"my_number", std::to_string(replica)}});
    auto request = [&] {
      int id = harness.submit(0, 5000);
      harness.pass(50);
      harness.end(id, 0, Outcome::succeeded);
    };
    for (int i = 0; i < 10; ++i) request(), harness.pass(250);
    sent_before_restart += harness.sends[0];
    harness.entries[0].up_since_ms = harness.now_ms;
    harness.update_endpoints(EndpointListUpdate::full, harness.entries);
    harness.sends.clear();
    for (int i = 0; i < 5; ++i) request(), harness.pass(250);
    sent += harness.sends[0];
  }
  // The endpoint starts with 0.3 of its capacity. At the rate of a warm endpoint it would get half of the
  // number before the restart, because it is observed for half as many requests.
  EXPECT_LT(sent, 0.5 * sent_before_restart * 0.5);
  EXPECT_GT(sent, 0);
}

// The balancers together must stay within a warming endpoint's budget, for any number of balancers and uneven
// traffic. In any overload window the endpoint (one of ten, `rate` requests per ms in total) may get at most
// its budget plus 2 * sqrt(budget) + 2 for chance.
TEST(SlowStart, BudgetHoldsForTheSumOfAllBalancers) {
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
    for (int replica = 0; replica < balancers; ++replica)
      all.push_back(std::make_unique<PolicyHarness>(
          rules, 10, 100 + static_cast<std::uint64_t>(replica),
          Settings{{"replicas_of_me", std::to_string(balancers)}, {"my_number", std::to_string(replica)}}));
    std::vector<double> sends;
    double restarted_at_ms = 0;
    auto step = [&, rate = rate] {
      for (auto& harness : all) harness->pass(5);
      for (double left = rate * 5 + static_cast<double>(rng() % 1000) / 1000.0; left >= 1; --left) {
        // A third of the balancers have two thirds of the traffic.
        auto third = std::max<std::size_t>(1, all.size() / 3);
        auto& harness = *all[rng() % 3 < 2 ? rng() % third : rng() % all.size()];
        auto before = harness.sends[0];
        int id = harness.submit(0, 5000);
        if (restarted_at_ms > 0 && harness.sends[0] > before) sends.push_back(harness.now_ms);
        harness.end(id, 0, Outcome::succeeded);
      }
    };
    while (all[0]->now_ms < 108000) step();
    restarted_at_ms = all[0]->now_ms;
    for (auto& harness : all) {
      harness->entries[0].up_since_ms = restarted_at_ms;
      harness->update_endpoints(EndpointListUpdate::full, harness->entries);
    }
    while (all[0]->now_ms < restarted_at_ms + 8000) step();
    if (rate > 0.05) {
      EXPECT_GT(sends.size(), 2u) << balancers;
    }
    for (std::size_t i = 0, j = 0; j < sends.size(); ++j) {
      while (sends[j] - sends[i] >= rules.overload_window_ms) ++i;
      double capacity_fraction =
          rules.initial_share +
          (1 - rules.initial_share) * std::min(1.0, (sends[i] - restarted_at_ms) / rules.slow_start_ms);
      double budget = rate / 10 * rules.overload_window_ms * rules.overload_factor * capacity_fraction;
      EXPECT_LE(static_cast<double>(j - i + 1), budget + 2 * std::sqrt(budget) + 2)
          << balancers << " at " << sends[j] - restarted_at_ms;
    }
  }
}

// Without any warm endpoint there is no success rate, so the token buckets are never refilled. Requests must
// still be sent, one at a time.
TEST(SlowStart, TierOfNewServersIsUsedOneRequestAtATime) {
  PolicyHarness harness({}, 3, 5);
  for (auto& e : harness.entries) e.up_since_ms = harness.now_ms - 1;
  harness.update_endpoints(EndpointListUpdate::full, harness.entries);
  harness.stream(0, 50, 2000, [](int) { return 20.0; });
  EXPECT_GT(harness.sends[0] + harness.sends[1] + harness.sends[2], 30);
  EXPECT_EQ(harness.check.breach, "");
}

// A warming endpoint may still be working on a request after the client has disconnected, so there must be a
// pause before the next request to that endpoint.
TEST(SlowStart, PausesAfterACancelledRequest) {
  PolicyHarness harness({}, 1, 5);
  harness.entries[0].up_since_ms = harness.now_ms - 1;
  harness.update_endpoints(EndpointListUpdate::full, harness.entries);
  for (int i = 0; i < 20; ++i) {
    harness.leave(harness.submit(0, 5000));
    harness.pass(20);
  }
  EXPECT_EQ(harness.check.breach, "");
  EXPECT_LE(harness.sends[0], 2);
}

}  // namespace
}  // namespace meadowgauge::test
