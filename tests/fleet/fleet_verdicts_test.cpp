// Verdicts of a fleet on servers: which observations eject a server, for how long, and which instance tries
// the server again. The order, repetition and delay of observations must have no effect.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "fleet/outlier_verdicts.hpp"

namespace meadowgauge::fleet {
namespace {

using membership::ServerObservation;
using Servers = std::vector<std::uint32_t>;

const Servers ten_servers{1, 2, 3, 4, 5, 6, 7, 8, 9, 10};
const std::vector<std::string> all_instances{"a", "b", "c", "d", "e"};

ServerObservation failing_report(std::uint32_t server, double age_ms = 0, double failing_for_ms = 500) {
  return {server, true, age_ms, failing_for_ms};
}
ServerObservation healthy_report(std::uint32_t server, double age_ms = 0) {
  return {server, false, age_ms, 0};
}

TEST(FleetVerdicts, TwoFailingReportersEjectAServer) {
  OutlierVerdicts v("a");
  EXPECT_TRUE(v.merge("b", {failing_report(3)}, 0.1, 1000));
  EXPECT_EQ(v.ejected(ten_servers, all_instances, 1000), Servers{});
  EXPECT_FALSE(v.merge("b", {failing_report(3)}, 0.1, 1200));  // the same reporter again
  EXPECT_EQ(v.ejected(ten_servers, all_instances, 1200), Servers{});
  EXPECT_TRUE(v.merge("c", {failing_report(3)}, 0.1, 1200));
  EXPECT_EQ(v.ejected(ten_servers, all_instances, 1200), Servers{3});
  // This instance's own report counts like any other. Servers that are not listed are ignored.
  OutlierVerdicts own("a");
  EXPECT_TRUE(own.record_suspects({3}, 1000));
  EXPECT_FALSE(own.record_suspects({3}, 1100));
  for (std::uint32_t s : {1u, 2u, 4u}) own.record_success(s, 1000);
  own.merge("b", {failing_report(3), failing_report(77)}, 0.1, 1000);
  own.merge("c", {failing_report(77)}, 0.1, 1000);
  EXPECT_EQ(own.ejected(ten_servers, all_instances, 1100), Servers{3});
}

TEST(FleetVerdicts, ReportsOfOriginWithBadLinksDoNotCount) {
  OutlierVerdicts v("a");
  v.merge("b", {failing_report(3), failing_report(4), failing_report(5)}, 0.6, 1000);
  v.merge("c", {failing_report(3)}, 0.1, 1000);
  EXPECT_EQ(v.ejected(ten_servers, all_instances, 1000), Servers{});
  OutlierVerdicts self("a");
  self.record_success(1, 900);
  EXPECT_EQ(self.unhealthy_share(1000), 0);
  self.record_suspects({2, 3}, 1000);
  EXPECT_GT(self.unhealthy_share(1000), 0.5);
  self.merge("c", {failing_report(3)}, 0.1, 1000);
  EXPECT_EQ(self.ejected(ten_servers, all_instances, 1000), Servers{});
}

TEST(FleetVerdicts, ServerThatServesOthersIsNotEjected) {
  OutlierVerdicts v("a");
  v.merge("b", {failing_report(3)}, 0.1, 1000);
  v.merge("c", {failing_report(3)}, 0.1, 1000);
  v.merge("d", {healthy_report(3, 800)}, 0, 1000);  // before the failures began: does not count
  EXPECT_EQ(v.ejected(ten_servers, all_instances, 1000), Servers{3});
  v.merge("d", {healthy_report(3)}, 0, 1100);
  EXPECT_EQ(v.ejected(ten_servers, all_instances, 1100), Servers{3});
  v.merge("e", {healthy_report(3)}, 0, 1100);
  EXPECT_EQ(v.ejected(ten_servers, all_instances, 1100), Servers{});
  OutlierVerdicts served("a");
  served.merge("b", {failing_report(3)}, 0.1, 1000);
  served.merge("c", {failing_report(3)}, 0.1, 1000);
  served.record_success(3, 1050);
  EXPECT_EQ(served.ejected(ten_servers, all_instances, 1100), Servers{});
}

TEST(FleetVerdicts, EjectedShareIsBounded) {
  OutlierVerdicts v("a");
  for (std::uint32_t s = 1; s <= 6; ++s)
    for (const char* who : {"b", "c"}) v.merge(who, {failing_report(s)}, 0.1, 1000 + s);
  v.merge("d", {failing_report(6)}, 0.1, 1010);
  EXPECT_EQ(v.ejected(ten_servers, all_instances, 1010), (Servers{6, 1, 2}));
  EXPECT_EQ(v.ejected({1, 2, 3}, all_instances, 1010), Servers{});
}

TEST(FleetVerdicts, VerdictExpiresByObservationAge) {
  OutlierVerdicts v("a");
  v.merge("b", {failing_report(3)}, 0.1, 1000);
  v.merge("c", {failing_report(3)}, 0.1, 1000);
  EXPECT_EQ(v.ejected(ten_servers, all_instances, 1000 + OutlierVerdicts::verdict_ms), Servers{3});
  EXPECT_EQ(v.ejected(ten_servers, all_instances, 1001 + OutlierVerdicts::verdict_ms), Servers{});
  // Observations that are repeated or arrive late count with their original age.
  v.merge("b", {failing_report(3)}, 0.1, 1000);
  v.merge("c", {failing_report(3, 300)}, 0.1, 1200);
  EXPECT_EQ(v.ejected(ten_servers, all_instances, 1001 + OutlierVerdicts::verdict_ms), Servers{});
  v.expire(all_instances, 1000 + 3 * OutlierVerdicts::verdict_ms);
  EXPECT_EQ(v.origin_count(), 0u);
}

TEST(FleetVerdicts, ReportersTryTheServerInTurnSkippingDead) {
  std::vector<OutlierVerdicts> fleet;
  for (const auto& name : all_instances) fleet.emplace_back(name);
  auto fail_at = [&](std::size_t who, double at_ms) {
    for (std::uint32_t s : {1u, 2u, 4u}) fleet[who].record_success(s, at_ms);
    fleet[who].record_suspects({}, at_ms);
    fleet[who].record_suspects({3}, at_ms);
    ASSERT_EQ(describe(fleet[who].broken_invariant()), "");
    auto reported = fleet[who].observations(at_ms);
    for (auto& v : fleet) v.merge(all_instances[who], reported, fleet[who].unhealthy_share(at_ms), at_ms);
  };
  for (std::size_t who : {0u, 1u, 2u}) fail_at(who, 1000);
  // Returns the instances that may pick the server.
  auto allowed_instances = [&](double now_ms, const std::vector<std::string>& alive) {
    std::vector<std::size_t> who;
    for (std::size_t i = 0; i < fleet.size(); ++i)
      if (fleet[i].ejected(ten_servers, alive, now_ms).empty()) who.push_back(i);
    return who;
  };
  EXPECT_TRUE(allowed_instances(1900, all_instances).empty());
  auto first = allowed_instances(2001, all_instances);
  ASSERT_EQ(first.size(), 1u);
  EXPECT_LT(first[0], 3u);  // one of the failing reporters
  // The trial fails: no instance tries for a second, then another failing reporter does.
  fail_at(first[0], 2100);
  EXPECT_TRUE(allowed_instances(3000, all_instances).empty());
  auto second = allowed_instances(3101, all_instances);
  ASSERT_EQ(second.size(), 1u);
  EXPECT_NE(second[0], first[0]);
  // If the second reporter is dead, the others let the next one try.
  auto rest = all_instances;
  std::erase(rest, all_instances[second[0]]);
  auto next = allowed_instances(3101, rest);
  EXPECT_EQ(next.size(), 2u);  // the second reporter still has its turn by its own view
  // If no trial takes place, one more reporter may try every two seconds.
  EXPECT_EQ(allowed_instances(5101, all_instances).size(), 2u);
  // A success lifts the verdict at all instances.
  fleet[first[0]].record_success(3, 3200);
  auto reported = fleet[first[0]].observations(3200);
  for (auto& v : fleet) v.merge(all_instances[first[0]], reported, 0, 3200);
  EXPECT_EQ(allowed_instances(3201, all_instances).size(), 5u);
}

TEST(FleetVerdicts, OnlyAFailingReporterGetsATrial) {
  OutlierVerdicts v("a");
  for (std::uint32_t s : {1u, 2u, 4u}) v.record_success(s, 1000);
  v.record_suspects({3}, 1000);
  EXPECT_EQ(v.on_trial(ten_servers, all_instances, 2100), Servers{});  // no verdict: a single reporter
  v.merge("b", {failing_report(3)}, 0.1, 1100);
  EXPECT_EQ(v.on_trial(ten_servers, all_instances, 2000), Servers{});
  EXPECT_EQ(v.ejected(ten_servers, all_instances, 2000), Servers{3});
  EXPECT_EQ(v.on_trial(ten_servers, all_instances, 2100), Servers{3});
  EXPECT_EQ(v.ejected(ten_servers, all_instances, 2100), Servers{});
  OutlierVerdicts other("c");  // reports no failure, so it never has a turn
  other.merge("a", {failing_report(3)}, 0.1, 1000);
  other.merge("b", {failing_report(3)}, 0.1, 1100);
  EXPECT_EQ(other.on_trial(ten_servers, all_instances, 2100), Servers{});
  EXPECT_EQ(other.ejected(ten_servers, all_instances, 2100), Servers{3});
}

// Merges random observations in two orders, one of them with repetition. The verdicts must be equal, keep to
// the maximum ejected share, and each be based on unexpired observations of two origins.
TEST(FleetVerdicts, OrderAndRepetitionChangeNothing) {
  struct Sent {
    std::string from;
    double at_ms;
    std::vector<ServerObservation> observations;
  };
  for (unsigned seed = 0; seed < 20000; ++seed) {
    std::minstd_rand rng(seed + 1);
    std::vector<Sent> sent;
    for (int k = 0; k < 12; ++k) {
      Sent s{.from = all_instances[1 + rng() % 4],
             .at_ms = static_cast<double>(rng() % 15000),
             .observations = {}};
      for (std::uint32_t server = 1; server <= 4; ++server)
        if (rng() % 2)
          s.observations.push_back({server, rng() % 3 > 0, static_cast<double>(rng() % 2000), 2000});
      sent.push_back(s);
    }
    OutlierVerdicts in_order("a"), shuffled("a");
    for (const auto& s : sent) in_order.merge(s.from, s.observations, 0.1, s.at_ms);
    auto repeated = sent;
    repeated.insert(repeated.end(), sent.begin(), sent.end());
    std::shuffle(repeated.begin(), repeated.end(), rng);
    for (const auto& s : repeated) shuffled.merge(s.from, s.observations, 0.1, s.at_ms);
    double now_ms = 15000;
    ASSERT_EQ(describe(in_order.broken_invariant()), "");
    ASSERT_EQ(describe(shuffled.broken_invariant()), "");
    auto ejected = in_order.ejected(ten_servers, all_instances, now_ms);
    ASSERT_EQ(ejected, shuffled.ejected(ten_servers, all_instances, now_ms)) << seed;
    ASSERT_LE(ejected.size(), 3u);
    for (auto server : ejected) {
      std::vector<std::string> reporters;
      for (const auto& s : sent)
        for (const auto& x : s.observations)
          if (x.server == server && x.failing && s.at_ms - x.age_ms >= now_ms - OutlierVerdicts::verdict_ms)
            reporters.push_back(s.from);
      std::sort(reporters.begin(), reporters.end());
      reporters.erase(std::unique(reporters.begin(), reporters.end()), reporters.end());
      ASSERT_GE(reporters.size(), 2u) << seed;
    }
    ASSERT_TRUE(in_order.ejected(ten_servers, all_instances, 15001 + OutlierVerdicts::verdict_ms).empty());
  }
}

}  // namespace
}  // namespace meadowgauge::fleet
