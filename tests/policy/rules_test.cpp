// The four rules under random runs of the policy, and the rule checker itself against deliberate breaches.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "fixtures/policy_harness.hpp"

namespace meadowgauge::test {
namespace {

using Step = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

// One random event: a request, the end of an attempt, time, a list, a client that leaves, a restart.
void apply(PolicyHarness& w, Step step, double& up) {
  auto [kind, a, b] = step;
  auto some_request = [&, a = a] { return std::next(w.requests.begin(), a % std::ssize(w.requests))->first; };
  auto position = a % w.entries.size();
  auto endpoint = static_cast<EndpointIndex>(position);
  switch (kind % 16) {
    default:
      for (int i = 0; i <= b % 8; ++i) w.submit((a + i) % 5, 200 + 25.0 * b);
      break;
    case 4:
    case 5:
    case 6:
    case 7: {
      if (w.requests.empty()) break;
      static constexpr Outcome ends[] = {Outcome::succeeded, Outcome::succeeded, Outcome::succeeded,
                                         Outcome::error,     Outcome::rejected,  Outcome::unreachable,
                                         Outcome::reset,     Outcome::timeout,   Outcome::superseded};
      for (int i = 0; i <= b % 8 && !w.requests.empty(); ++i)
        w.end(some_request(), i % 3, ends[b % std::size(ends)]);
      break;
    }
    case 8:
    case 9:
      w.pass(5.0 * (1 + a));
      break;
    case 10:
      w.entries[position].state = static_cast<EndpointState>(b % 3);
      // A list may state nothing else of an endpoint that has gone.
      if (b % 3 == 0 && b % 2 == 0)
        w.update_endpoints(EndpointListUpdate::delta, {{.endpoint = endpoint, .state = EndpointState::gone}});
      else
        w.update_endpoints(EndpointListUpdate::delta, {w.entries[position]});
      break;
    case 11:
      w.entries[position].state = EndpointState::ready;
      w.entries[position].up_since_ms = up = std::max(up + 1, w.now_ms - b);
      w.update_endpoints(EndpointListUpdate::delta, {w.entries[position]});
      break;
    case 12:
      w.update_endpoints(EndpointListUpdate::full, w.entries);
      break;
    case 13:
      w.update_endpoints(EndpointListUpdate::failed, {});
      break;
    case 14:
      if (!w.requests.empty()) w.leave(some_request());
      break;
    case 15:
      if (b < 32) w.restart();
      break;
  }
}

TEST(Rules, HoldAfterEveryStepOfRandomRuns) {
  EXPECT_TRUE(rc::check("the four rules", [](std::uint32_t seed, bool copies) {
    auto steps = *rc::gen::resize(400, rc::gen::arbitrary<std::vector<Step>>());
    PolicyHarness w({.copies = copies}, 1 + static_cast<int>(seed % 8), seed);
    double up = w.now_ms - 20000;
    for (const auto& s : steps) {
      apply(w, s, up);
      RC_ASSERT(w.check.breach == "");
    }
    w.pass(8000);
    RC_ASSERT(w.check.breach == "");
  }));
}

TEST(Rules, SameEventsGiveTheSameAnswers) {
  EXPECT_TRUE(rc::check("deterministic", [](std::uint32_t seed, const std::vector<Step>& steps) {
    PolicyHarness a({}, 6, seed), b({}, 6, seed);
    double up_a = a.now_ms, up_b = b.now_ms;
    for (const auto& s : steps) {
      apply(a, s, up_a);
      apply(b, s, up_b);
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

TEST_P(RuleCheckerTest, NamesTheBreach) {
  RuleChecker c({.copies = false});
  c.endpoint_listed({.endpoint = EndpointIndex{0}}, 0);
  c.endpoint_listed({.endpoint = EndpointIndex{1}, .zone = 1, .cell = 1}, 0);
  GetParam().act(c);
  EXPECT_EQ(c.breach, GetParam().text);
}

INSTANTIATE_TEST_SUITE_P(
    Deliberate, RuleCheckerTest,
    testing::Values(Breach{"no answer before the client timeout",
                           [](RuleChecker& c) { c.request_arrived(1, 0, 50), c.time_passed(71); }},
                    Breach{"sent after the final answer",
                           [](RuleChecker& c) {
                             c.request_arrived(1, 0, 50), c.answered(1, Decision::fail, 9),
                                 c.sent(1, EndpointIndex{0}, 9);
                           }},
                    Breach{"non-idempotent request sent again though it may have executed",
                           [](RuleChecker& c) {
                             c.request_arrived(1, 1, 50), c.sent(1, EndpointIndex{0}, 1),
                                 c.ended(1, 0, Outcome::error), c.sent(1, EndpointIndex{1}, 2);
                           }},
                    Breach{"deduplicated request left its cell",
                           [](RuleChecker& c) {
                             c.request_arrived(1, 4, 50), c.sent(1, EndpointIndex{0}, 1),
                                 c.ended(1, 0, Outcome::reset), c.sent(1, EndpointIndex{1}, 2);
                           }},
                    Breach{"rejected though it may have executed",
                           [](RuleChecker& c) {
                             c.request_arrived(1, 3, 50), c.sent(1, EndpointIndex{0}, 1),
                                 c.ended(1, 0, Outcome::error);
                             c.answered(1, Decision::reject, 2);
                           }},
                    Breach{"sent to a server past its drain",
                           [](RuleChecker& c) {
                             c.endpoint_listed(
                                 {.endpoint = EndpointIndex{0}, .state = EndpointState::draining}, 0),
                                 c.request_arrived(1, 0, 900), c.sent(1, EndpointIndex{0}, 300);
                           }},
                    Breach{"server overloaded in its slow start", [](RuleChecker& c) {
                             c.endpoint_listed({.endpoint = EndpointIndex{0}, .up_since_ms = 100}, 100);
                             for (int i = 0; i < 6; ++i)
                               c.request_arrived(i, 0, 900), c.sent(i, EndpointIndex{0}, 200);
                           }}));

}  // namespace
}  // namespace meadowgauge::test
