// Checks the four rules of RuleChecker in random runs of the policy, and checks that RuleChecker itself
// detects deliberate breaches.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "fixtures/policy_harness.hpp"

namespace meadowgauge::test {
namespace {

using Step = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

// Applies one random event: new requests, ends of attempts, passing time, an endpoint list, a client
// disconnect or a restart of the balancer.
void apply(PolicyHarness& harness, Step step, double& last_start_ms) {
  auto [kind, a, b] = step;
  auto some_request = [&, a = a] {
    return std::next(harness.requests.begin(), a % std::ssize(harness.requests))->first;
  };
  auto position = a % harness.entries.size();
  auto endpoint = static_cast<EndpointIndex>(position);
  switch (kind % 16) {
    default:
      for (int i = 0; i <= b % 8; ++i) harness.submit((a + i) % 5, 200 + 25.0 * b);
      break;
    case 4:
    case 5:
    case 6:
    case 7: {
      if (harness.requests.empty()) break;
      static constexpr Outcome ends[] = {Outcome::succeeded, Outcome::succeeded, Outcome::succeeded,
                                         Outcome::error,     Outcome::rejected,  Outcome::unreachable,
                                         Outcome::reset,     Outcome::timeout,   Outcome::superseded};
      for (int i = 0; i <= b % 8 && !harness.requests.empty(); ++i)
        harness.end(some_request(), i % 3, ends[b % std::size(ends)]);
      break;
    }
    case 8:
    case 9:
      harness.pass(5.0 * (1 + a));
      break;
    case 10:
      harness.entries[position].state = static_cast<EndpointState>(b % 3);
      // The list entry of a removed endpoint may contain nothing but the state.
      if (b % 3 == 0 && b % 2 == 0)
        harness.update_endpoints(EndpointListUpdate::delta,
                                 {{.endpoint = endpoint, .state = EndpointState::gone}});
      else
        harness.update_endpoints(EndpointListUpdate::delta, {harness.entries[position]});
      break;
    case 11:
      harness.entries[position].state = EndpointState::ready;
      harness.entries[position].up_since_ms = last_start_ms = std::max(last_start_ms + 1, harness.now_ms - b);
      harness.update_endpoints(EndpointListUpdate::delta, {harness.entries[position]});
      break;
    case 12:
      harness.update_endpoints(EndpointListUpdate::full, harness.entries);
      break;
    case 13:
      harness.update_endpoints(EndpointListUpdate::failed, {});
      break;
    case 14:
      if (!harness.requests.empty()) harness.leave(some_request());
      break;
    case 15:
      if (b < 32) harness.restart();
      break;
  }
}

TEST(Rules, HoldAfterEveryStepOfRandomRuns) {
  EXPECT_TRUE(rc::check("the four rules", [](std::uint32_t seed, bool copies) {
    auto steps = *rc::gen::resize(400, rc::gen::arbitrary<std::vector<Step>>());
    PolicyHarness harness({.copies = copies}, 1 + static_cast<int>(seed % 8), seed);
    double last_start_ms = harness.now_ms - 20000;
    for (const auto& s : steps) {
      apply(harness, s, last_start_ms);
      RC_ASSERT(harness.check.breach == "");
    }
    harness.pass(8000);
    RC_ASSERT(harness.check.breach == "");
  }));
}

TEST(Rules, SameEventsGiveTheSameAnswers) {
  EXPECT_TRUE(rc::check("deterministic", [](std::uint32_t seed, const std::vector<Step>& steps) {
    PolicyHarness a({}, 6, seed), b({}, 6, seed);
    double last_start_a_ms = a.now_ms, last_start_b_ms = b.now_ms;
    for (const auto& s : steps) {
      apply(a, s, last_start_a_ms);
      apply(b, s, last_start_b_ms);
    }
    RC_ASSERT(a.sends == b.sends);
    RC_ASSERT(a.finals == b.finals);
  }));
}

struct Breach {
  const char* text;
  void (*act)(RuleChecker&);
};

class RuleCheckerTest : public testing::TestWithParam<Breach> {};

TEST_P(RuleCheckerTest, ReportsTheBreach) {
  RuleChecker checker({.copies = false});
  checker.endpoint_listed({.endpoint = EndpointIndex{0}}, 0);
  checker.endpoint_listed({.endpoint = EndpointIndex{1}, .zone = 1, .cell = 1}, 0);
  GetParam().act(checker);
  EXPECT_EQ(checker.breach, GetParam().text);
}

INSTANTIATE_TEST_SUITE_P(
    Deliberate, RuleCheckerTest,
    testing::Values(Breach{"no answer before the client timeout",
                           [](RuleChecker& checker) {
                             checker.request_arrived(1, 0, 50), checker.time_passed(71);
                           }},
                    Breach{"sent after the final answer",
                           [](RuleChecker& checker) {
                             checker.request_arrived(1, 0, 50), checker.answered(1, Decision::fail, 9),
                                 checker.sent(1, EndpointIndex{0}, 9);
                           }},
                    Breach{"non-idempotent request sent again though it may have executed",
                           [](RuleChecker& checker) {
                             checker.request_arrived(1, 1, 50), checker.sent(1, EndpointIndex{0}, 1),
                                 checker.ended(1, 0, Outcome::error), checker.sent(1, EndpointIndex{1}, 2);
                           }},
                    Breach{"deduplicated request left its cell",
                           [](RuleChecker& checker) {
                             checker.request_arrived(1, 4, 50), checker.sent(1, EndpointIndex{0}, 1),
                                 checker.ended(1, 0, Outcome::reset), checker.sent(1, EndpointIndex{1}, 2);
                           }},
                    Breach{"rejected though it may have executed",
                           [](RuleChecker& checker) {
                             checker.request_arrived(1, 3, 50), checker.sent(1, EndpointIndex{0}, 1),
                                 checker.ended(1, 0, Outcome::error);
                             checker.answered(1, Decision::reject, 2);
                           }},
                    Breach{"sent to a server past its drain",
                           [](RuleChecker& checker) {
                             checker.endpoint_listed(
                                 {.endpoint = EndpointIndex{0}, .state = EndpointState::draining}, 0),
                                 checker.request_arrived(1, 0, 900), checker.sent(1, EndpointIndex{0}, 300);
                           }},
                    Breach{"server overloaded in its slow start", [](RuleChecker& checker) {
                             checker.endpoint_listed({.endpoint = EndpointIndex{0}, .up_since_ms = 100}, 100);
                             for (int i = 0; i < 6; ++i)
                               checker.request_arrived(i, 0, 900), checker.sent(i, EndpointIndex{0}, 200);
                           }}));

}  // namespace
}  // namespace meadowgauge::test
