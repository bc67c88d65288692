// Verdicts of a fleet on servers as values: which observations eject a server, for how long, and which
// instance tries it again. Order, repetition and delay of observations change nothing.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "fleet/outlier_verdicts.hpp"

namespace meadowgauge::fleet {
namespace {

using membership::ServerObservation;
using Servers = std::vector<std::uint32_t>;

const Servers ten{1, 2, 3, 4, 5, 6, 7, 8, 9, 10};
const std::vector<std::string> all{"a", "b", "c", "d", "e"};

ServerObservation bad(std::uint32_t server, double age_ms = 0, double failing_for_ms = 500) {
  return {server, true, age_ms, failing_for_ms};
}
ServerObservation good(std::uint32_t server, double age_ms = 0) { return {server, false, age_ms, 0}; }

TEST(FleetVerdicts, TwoAccusersEjectAServer) {
  OutlierVerdicts v("a");
  EXPECT_TRUE(v.merge("b", {bad(3)}, 0.1, 1000));
  EXPECT_EQ(v.ejected(ten, all, 1000), Servers{});
  EXPECT_FALSE(v.merge("b", {bad(3)}, 0.1, 1200));  // the same accuser again
  EXPECT_EQ(v.ejected(ten, all, 1200), Servers{});
  EXPECT_TRUE(v.merge("c", {bad(3)}, 0.1, 1200));
  EXPECT_EQ(v.ejected(ten, all, 1200), Servers{3});
  // An own accusation counts like any other; servers that are not listed here are ignored.
  OutlierVerdicts own("a");
  EXPECT_TRUE(own.record_suspects({3}, 1000));
  EXPECT_FALSE(own.record_suspects({3}, 1100));
  for (std::uint32_t s : {1u, 2u, 4u}) own.record_success(s, 1000);
  own.merge("b", {bad(3), bad(77)}, 0.1, 1000);
  own.merge("c", {bad(77)}, 0.1, 1000);
  EXPECT_EQ(own.ejected(ten, all, 1100), Servers{3});
}

TEST(FleetVerdicts, OriginWithBadLinksAccusesNobody) {
  OutlierVerdicts v("a");
  v.merge("b", {bad(3), bad(4), bad(5)}, 0.6, 1000);
  v.merge("c", {bad(3)}, 0.1, 1000);
  EXPECT_EQ(v.ejected(ten, all, 1000), Servers{});
  OutlierVerdicts me("a");
  me.record_success(1, 900);
  EXPECT_EQ(me.unhealthy_share(1000), 0);
  me.record_suspects({2, 3}, 1000);
  EXPECT_GT(me.unhealthy_share(1000), 0.5);
  me.merge("c", {bad(3)}, 0.1, 1000);
  EXPECT_EQ(me.ejected(ten, all, 1000), Servers{});
}

TEST(FleetVerdicts, ServerThatDefendersUseIsNotEjected) {
  OutlierVerdicts v("a");
  v.merge("b", {bad(3)}, 0.1, 1000);
  v.merge("c", {bad(3)}, 0.1, 1000);
  v.merge("d", {good(3, 800)}, 0, 1000);  // older than the failures: no evidence
  EXPECT_EQ(v.ejected(ten, all, 1000), Servers{3});
  v.merge("d", {good(3)}, 0, 1100);
  EXPECT_EQ(v.ejected(ten, all, 1100), Servers{3});
  v.merge("e", {good(3)}, 0, 1100);
  EXPECT_EQ(v.ejected(ten, all, 1100), Servers{});
  OutlierVerdicts served("a");
  served.merge("b", {bad(3)}, 0.1, 1000);
  served.merge("c", {bad(3)}, 0.1, 1000);
  served.record_success(3, 1050);
  EXPECT_EQ(served.ejected(ten, all, 1100), Servers{});
}

TEST(FleetVerdicts, EjectedShareIsBounded) {
  OutlierVerdicts v("a");
  for (std::uint32_t s = 1; s <= 6; ++s)
    for (const char* who : {"b", "c"}) v.merge(who, {bad(s)}, 0.1, 1000 + s);
  v.merge("d", {bad(6)}, 0.1, 1010);
  EXPECT_EQ(v.ejected(ten, all, 1010), (Servers{6, 1, 2}));
  EXPECT_EQ(v.ejected({1, 2, 3}, all, 1010), Servers{});
}

TEST(FleetVerdicts, ExpireByTheAgeOfTheObservation) {
  OutlierVerdicts v("a");
  v.merge("b", {bad(3)}, 0.1, 1000);
  v.merge("c", {bad(3)}, 0.1, 1000);
  EXPECT_EQ(v.ejected(ten, all, 1000 + OutlierVerdicts::verdict_ms), Servers{3});
  EXPECT_EQ(v.ejected(ten, all, 1001 + OutlierVerdicts::verdict_ms), Servers{});
  // Repeated and older observations that arrive late count with their own age.
  v.merge("b", {bad(3)}, 0.1, 1000);
  v.merge("c", {bad(3, 300)}, 0.1, 1200);
  EXPECT_EQ(v.ejected(ten, all, 1001 + OutlierVerdicts::verdict_ms), Servers{});
  v.expire(all, 1000 + 3 * OutlierVerdicts::verdict_ms);
  EXPECT_EQ(v.origin_count(), 0u);
}

TEST(FleetVerdicts, AccusersTryTheServerInTurnPastDeadOnes) {
  std::vector<OutlierVerdicts> fleet;
  for (const auto& name : all) fleet.emplace_back(name);
  auto fail_at = [&](std::size_t who, double at_ms) {
    for (std::uint32_t s : {1u, 2u, 4u}) fleet[who].record_success(s, at_ms);
    fleet[who].record_suspects({}, at_ms);
    fleet[who].record_suspects({3}, at_ms);
    ASSERT_EQ(describe(fleet[who].broken_invariant()), "");
    auto reported = fleet[who].observations(at_ms);
    for (auto& v : fleet) v.merge(all[who], reported, fleet[who].unhealthy_share(at_ms), at_ms);
  };
  for (std::size_t who : {0u, 1u, 2u}) fail_at(who, 1000);
  // The instances that may pick the server.
  auto users = [&](double now_ms, const std::vector<std::string>& alive) {
    std::vector<std::size_t> who;
    for (std::size_t i = 0; i < fleet.size(); ++i)
      if (fleet[i].ejected(ten, alive, now_ms).empty()) who.push_back(i);
    return who;
  };
  EXPECT_TRUE(users(1900, all).empty());
  auto first = users(2001, all);
  ASSERT_EQ(first.size(), 1u);
  EXPECT_LT(first[0], 3u);  // one of the accusers
  // The trial fails: nobody tries for a second, then another accuser does.
  fail_at(first[0], 2100);
  EXPECT_TRUE(users(3000, all).empty());
  auto second = users(3101, all);
  ASSERT_EQ(second.size(), 1u);
  EXPECT_NE(second[0], first[0]);
  // The second accuser is dead: the next one tries, by the view of the others.
  auto rest = all;
  std::erase(rest, all[second[0]]);
  auto next = users(3101, rest);
  EXPECT_EQ(next.size(), 2u);  // the dead one still counts itself
  // Without a trial one more accuser may try every two seconds.
  EXPECT_EQ(users(5101, all).size(), 2u);
  // A success lifts the verdict for all.
  fleet[first[0]].record_success(3, 3200);
  auto reported = fleet[first[0]].observations(3200);
  for (auto& v : fleet) v.merge(all[first[0]], reported, 0, 3200);
  EXPECT_EQ(users(3201, all).size(), 5u);
}

TEST(FleetVerdicts, TrialIsTheTurnOfOneAccuser) {
  OutlierVerdicts v("a");
  for (std::uint32_t s : {1u, 2u, 4u}) v.record_success(s, 1000);
  v.record_suspects({3}, 1000);
  EXPECT_EQ(v.on_trial(ten, all, 2100), Servers{});  // nobody ejects it
  v.merge("b", {bad(3)}, 0.1, 1100);
  EXPECT_EQ(v.on_trial(ten, all, 2000), Servers{});
  EXPECT_EQ(v.ejected(ten, all, 2000), Servers{3});
  EXPECT_EQ(v.on_trial(ten, all, 2100), Servers{3});
  EXPECT_EQ(v.ejected(ten, all, 2100), Servers{});
  OutlierVerdicts onlooker("c");  // no accuser: it never has a turn
  onlooker.merge("a", {bad(3)}, 0.1, 1000);
  onlooker.merge("b", {bad(3)}, 0.1, 1100);
  EXPECT_EQ(onlooker.on_trial(ten, all, 2100), Servers{});
  EXPECT_EQ(onlooker.ejected(ten, all, 2100), Servers{3});
}

// Random observations in two orders, one with repetition: the verdicts are equal, within the bounded share,
// and each rests on unexpired observations of two origins.
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
      Sent s{.from = all[1 + rng() % 4], .at_ms = static_cast<double>(rng() % 15000), .observations = {}};
      for (std::uint32_t server = 1; server <= 4; ++server)
        if (rng() % 2)
          s.observations.push_back({server, rng() % 3 > 0, static_cast<double>(rng() % 2000), 2000});
      sent.push_back(s);
    }
    OutlierVerdicts one("a"), two("a");
    for (const auto& s : sent) one.merge(s.from, s.observations, 0.1, s.at_ms);
    auto again = sent;
    again.insert(again.end(), sent.begin(), sent.end());
    std::shuffle(again.begin(), again.end(), rng);
    for (const auto& s : again) two.merge(s.from, s.observations, 0.1, s.at_ms);
    double now_ms = 15000;
    ASSERT_EQ(describe(one.broken_invariant()), "");
    ASSERT_EQ(describe(two.broken_invariant()), "");
    auto ejected = one.ejected(ten, all, now_ms);
    ASSERT_EQ(ejected, two.ejected(ten, all, now_ms)) << seed;
    ASSERT_LE(ejected.size(), 3u);
    for (auto server : ejected) {
      std::vector<std::string> accusers;
      for (const auto& s : sent)
        for (const auto& x : s.observations)
          if (x.server == server && x.failing && s.at_ms - x.age_ms >= now_ms - OutlierVerdicts::verdict_ms)
            accusers.push_back(s.from);
      std::sort(accusers.begin(), accusers.end());
      accusers.erase(std::unique(accusers.begin(), accusers.end()), accusers.end());
      ASSERT_GE(accusers.size(), 2u) << seed;
    }
    ASSERT_TRUE(one.ejected(ten, all, 15001 + OutlierVerdicts::verdict_ms).empty());
  }
}

}  // namespace
}  // namespace meadowgauge::fleet
