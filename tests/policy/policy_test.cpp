// The policy as a whole: reasons for rejections, the endpoint list, settings, sizes.
#include <gtest/gtest.h>

#include <string>

#include "policy/policy_test_support.hpp"
#include "proxy/policy_event_log.hpp"

namespace meadowgauge::test {
namespace {

// Lists and fleets of any size.
TEST(Policy, AnyListAndAnyFleetWork) {
  for (int servers : {0, 1, 1000})
    for (const char* replicas : {"1", "500"}) {
      PolicyHarness w({}, servers, 5, {{"replicas_of_me", replicas}, {"limits.probes", "true"}});
      w.pass(3000);  // an instance that gets no request
      w.stream(0, 50, 3000, [](int) { return 100.0; });
      EXPECT_EQ(sum_of(w.sends, 0, servers) > 0, servers > 0);
      EXPECT_EQ(w.check.breach, "");
    }
}

// Each rejection and failure that the policy decides has its reason.
TEST(RejectionReasons, NameWhatRejectedTheRequest) {
  auto reason_of = [](PolicyHarness& w, int id) {
    return w.reasons.contains(id) ? w.reasons[id] : RejectionReason::none;
  };
  auto failed_after = [&](PolicyHarness& w, int request_class, double timeout,
                          std::initializer_list<Outcome> ends) {
    int id = w.submit(request_class, timeout), n = 0;
    for (auto s : ends) w.end(id, n++, s);
    return reason_of(w, id);
  };
  PolicyHarness w({}, 4, 1);
  EXPECT_EQ(failed_after(w, 1, 5000, {Outcome::timeout}), RejectionReason::not_repeatable);
  EXPECT_EQ(failed_after(w, 0, 5000, {Outcome::reset, Outcome::reset, Outcome::reset, Outcome::reset}),
            RejectionReason::attempts);
  EXPECT_EQ(failed_after(w, 4, 5000, {Outcome::reset, Outcome::reset}), RejectionReason::not_repeatable);
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
  PolicyHarness jammed({}, 4, 1);
  feed(jammed, 0, 300);
  bool throttled = false;
  for (int i = 0; i < 50; ++i)
    throttled = throttled || reason_of(jammed, jammed.submit(1, 900)) == RejectionReason::throttle;
  EXPECT_TRUE(throttled);
  PolicyHarness starting({}, 1, 1);
  starting.entries[0].up_since_ms = starting.now_ms;
  starting.update_endpoints(EndpointListUpdate::full, starting.entries);
  for (int i = 0; i < 3; ++i) id = starting.submit(0, 5000);
  EXPECT_EQ(reason_of(starting, id), RejectionReason::slow_start);
}

TEST(ListSubscription, RetriesAfterFailures) {
  PolicyHarness w({}, 2, 3);
  int asks = 0;
  for (double t = 0; t < 8000; t += w.policy.tick_interval_ms()) {
    auto c = w.policy.tick(w.now_ms + t);
    if (!c.subscribe) continue;
    ++asks;
    w.policy.update_endpoints(EndpointListUpdate::failed, {}, w.now_ms + t);
  }
  EXPECT_GE(asks, 3);
  EXPECT_LE(asks, 8);
}

TEST(PolicySettings, InvalidValueIsAnEvent) {
  auto s = settings_of({});
  s["rules.cold_share"] = "cold";
  Policy b(s, 1, 0);
  auto events = b.tick(0).events;
  ASSERT_EQ(events.size(), 1u);
  const auto* invalid = std::get_if<InvalidSetting>(&events.front());
  ASSERT_NE(invalid, nullptr);
  EXPECT_EQ(invalid->name, "rules.cold_share");
  EXPECT_EQ(invalid->value, "cold");
  EXPECT_EQ(proxy::message_of(events[0], {}), "setting rules.cold_share is not a number: cold");
}

}  // namespace
}  // namespace meadowgauge::test
