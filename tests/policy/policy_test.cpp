// Tests of the policy as a whole: rejection reasons, the endpoint list, settings, numbers of endpoints and
// balancers.
#include <gtest/gtest.h>

#include <string>

#include "policy/policy_test_support.hpp"
#include "proxy/policy_event_log.hpp"

namespace meadowgauge::test {
namespace {

// An empty or very long endpoint list and a large number of balancers must not break any rule.
TEST(Policy, WorksWithAnyNumberOfEndpointsAndBalancers) {
  for (int servers : {0, 1, 1000})
    for (const char* replicas : {"1", "500"}) {
      PolicyHarness harness({}, servers, 5, {{"replicas_of_me", replicas}, {"limits.probes", "true"}});
      harness.pass(3000);  // a balancer that gets no requests at first
      harness.stream(0, 50, 3000, [](int) { return 100.0; });
      EXPECT_EQ(sum_of(harness.sends, 0, servers) > 0, servers > 0);
      EXPECT_EQ(harness.check.breach, "");
    }
}

// Each rejection and failure must carry the reason that caused it.
TEST(RejectionReasons, EachRejectionHasItsReason) {
  auto reason_of = [](PolicyHarness& harness, int id) {
    return harness.reasons.contains(id) ? harness.reasons[id] : RejectionReason::none;
  };
  auto failed_after = [&](PolicyHarness& harness, int request_class, double timeout,
                          std::initializer_list<Outcome> ends) {
    int id = harness.submit(request_class, timeout), attempt_number = 0;
    for (auto s : ends) harness.end(id, attempt_number++, s);
    return reason_of(harness, id);
  };
  PolicyHarness harness({}, 4, 1);
  EXPECT_EQ(failed_after(harness, 1, 5000, {Outcome::timeout}), RejectionReason::not_repeatable);
  EXPECT_EQ(failed_after(harness, 0, 5000, {Outcome::reset, Outcome::reset, Outcome::reset, Outcome::reset}),
            RejectionReason::attempts);
  EXPECT_EQ(failed_after(harness, 4, 5000, {Outcome::reset, Outcome::reset}),
            RejectionReason::not_repeatable);
  PolicyHarness late({}, 4, 1);
  int id = late.submit(0, 200);
  late.pass(195);
  late.end(id, 0, Outcome::error);
  EXPECT_EQ(reason_of(late, id), RejectionReason::deadline);
  PolicyHarness none({}, 0, 1);
  EXPECT_EQ(reason_of(none, none.submit(0, 500)), RejectionReason::no_server);
  PolicyHarness full({}, 4, 5);
  for (int i = 0; i < 40; ++i) id = full.submit(0, 5000);
  EXPECT_EQ(reason_of(full, id), RejectionReason::concurrency_limit);
  PolicyHarness spent({}, 30, 1);
  feed(spent, 60, 0);
  RejectionReason last = RejectionReason::none;
  for (int i = 0; i < 40 && last != RejectionReason::retry_budget; ++i)
    last = failed_after(spent, 0, 5000, {Outcome::rejected, Outcome::succeeded});
  EXPECT_EQ(last, RejectionReason::retry_budget);
  PolicyHarness overloaded({}, 4, 1);
  feed(overloaded, 0, 300);
  bool throttled = false;
  for (int i = 0; i < 50; ++i)
    throttled = throttled || reason_of(overloaded, overloaded.submit(1, 900)) == RejectionReason::throttle;
  EXPECT_TRUE(throttled);
  PolicyHarness warming({}, 1, 1);
  warming.entries[0].up_since_ms = warming.now_ms;
  warming.update_endpoints(EndpointListUpdate::full, warming.entries);
  for (int i = 0; i < 3; ++i) id = warming.submit(0, 5000);
  EXPECT_EQ(reason_of(warming, id), RejectionReason::slow_start);
}

TEST(ListSubscription, RetriesAfterFailures) {
  PolicyHarness harness({}, 2, 3);
  int subscribe_calls = 0;
  for (double t = 0; t < 8000; t += harness.policy.tick_interval_ms()) {
    auto actions = harness.policy.tick(harness.now_ms + t);
    if (!actions.subscribe) continue;
    ++subscribe_calls;
    harness.policy.update_endpoints(EndpointListUpdate::failed, {}, harness.now_ms + t);
  }
  EXPECT_GE(subscribe_calls, 3);
  EXPECT_LE(subscribe_calls, 8);
}

TEST(PolicySettings, InvalidValueIsAnEvent) {
  auto s = settings_of({});
  s["rules.cold_share"] = "cold";
  Policy configured_policy(s, 1, 0);
  auto events = configured_policy.tick(0).events;
  ASSERT_EQ(events.size(), 1u);
  const auto* invalid = std::get_if<InvalidSetting>(&events.front());
  ASSERT_NE(invalid, nullptr);
  EXPECT_EQ(invalid->name, "rules.cold_share");
  EXPECT_EQ(invalid->value, "cold");
  EXPECT_EQ(proxy::message_of(events[0], {}), "setting rules.cold_share is not a number: cold");
}

}  // namespace
}  // namespace meadowgauge::test
