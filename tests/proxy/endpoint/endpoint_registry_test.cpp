// What of endpoint lists counts that come late, out of order or from a discovery that counts anew: the
// registry by itself, with the time handed in.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "proxy/endpoint/registry.hpp"

namespace meadowgauge::proxy {
namespace {

using protocol::EndpointList;
using protocol::EndpointListEntry;

EndpointListEntry host(const std::string& name,
                       EndpointListEntry::Health health = EndpointListEntry::Health::active,
                       double born = 1) {
  return {.name = name, .dial = name + ":1", .zone = "a", .kind = "k", .health = health, .started_ms = born};
}

// Who is there by what is carried out of the lists, as the balancer does it.
std::map<std::string, std::pair<EndpointListEntry::Health, double>> shown(
    const std::vector<EndpointList>& lists, EndpointRegistry& r) {
  std::map<std::string, std::pair<EndpointListEntry::Health, double>> there;
  for (const auto& l : lists) {
    auto news = r.take(l, 0);
    if (news.full) there.clear();
    for (const auto& h : news.hosts)
      if (h.health == EndpointListEntry::Health::left)
        there.erase(h.name);
      else
        there[h.name] = {h.health, h.started_ms};
  }
  return there;
}

// Whatever order a discovery's lists come in, changes and whole ones, and however often: the newest counts.
TEST(Lists, InAnyOrderEndAsInTheirOwn) {
  std::mt19937 rng(11);
  for (int servers : {3, 60})
    for (int round = 0; round < 300; ++round) {
      std::map<std::string, EndpointListEntry> truth;
      std::vector<EndpointList> told;
      int next = 0;
      for (int seq = 1; seq <= 12; ++seq) {
        EndpointList l{.seq = seq, .full = seq == 1 || rng() % 3 == 0, .hosts = {}, .skipped = {}};
        for (int i = 0; i < (seq == 1 ? servers : static_cast<int>(rng() % 4)); ++i) {
          if (seq == 1 || truth.empty() || rng() % 3 == 0) {
            auto h = host("s" + std::to_string(next++), EndpointListEntry::Health::active, seq);
            truth[h.name] = h;
            l.hosts.push_back(h);
            continue;
          }
          auto it = std::next(truth.begin(), static_cast<long>(rng() % truth.size()));
          bool drains = it->second.health == EndpointListEntry::Health::leaving;
          it->second.health = drains ? EndpointListEntry::Health::left : EndpointListEntry::Health::leaving;
          l.hosts.push_back(it->second);
          if (drains) truth.erase(it);
        }
        if (l.full) {
          l.hosts.clear();
          for (const auto& [name, h] : truth) l.hosts.push_back(h);
        }
        told.push_back(l);
      }
      EndpointRegistry in_order;
      auto right = shown(told, in_order);
      // The first is what a balancer starts with.
      std::shuffle(told.begin() + 1, told.end(), rng);
      told.push_back(told[rng() % told.size()]);
      EndpointRegistry any;
      ASSERT_EQ(shown(told, any), right) << "round " << round;
    }
}

TEST(Lists, OlderOnesBringNothingBack) {
  EndpointRegistry r;
  r.take({.seq = 5, .full = true, .hosts = {host("x"), host("y")}, .skipped = {}}, 0);
  r.take({.seq = 7, .full = false, .hosts = {host("x", EndpointListEntry::Health::leaving)}, .skipped = {}},
         0);
  r.take({.seq = 8, .full = true, .hosts = {host("x", EndpointListEntry::Health::leaving)}, .skipped = {}},
         0);
  for (bool whole : {true, false}) {
    auto old =
        r.take({.seq = 6, .full = whole, .hosts = {host("x"), host("y"), host("z")}, .skipped = {}}, 0);
    EXPECT_FALSE(old.full);
    EXPECT_TRUE(old.hosts.empty());
  }
  auto empty = r.take({.seq = 6, .full = true, .hosts = {}, .skipped = {}}, 0);
  EXPECT_TRUE(empty.hosts.empty() && !empty.full);
}

// A discovery that counts from 1 again: drains it tells hold at once, all else after 20 s of nothing newer,
// and what drained before does not come back by its first list.
TEST(Lists, AreBelievedWhenTheirVersionsBeganAnew) {
  EndpointRegistry r;
  r.take({.seq = 90, .full = true, .hosts = {host("x"), host("y"), host("w")}, .skipped = {}}, 0);
  r.take({.seq = 91, .full = false, .hosts = {host("y", EndpointListEntry::Health::leaving)}, .skipped = {}},
         0);
  r.take({.seq = 1, .full = true, .hosts = {host("x"), host("y"), host("v")}, .skipped = {}}, 1000);
  auto drain = r.take(
      {.seq = 2, .full = false, .hosts = {host("x", EndpointListEntry::Health::leaving)}, .skipped = {}},
      2000);
  ASSERT_EQ(drain.hosts.size(), 1U);
  EXPECT_EQ(drain.hosts[0].health, EndpointListEntry::Health::leaving);
  EXPECT_FALSE(r.take({.seq = 3, .full = false, .hosts = {}, .skipped = {}}, 20900).full);
  auto all = r.take({.seq = 4, .full = false, .hosts = {}, .skipped = {}}, 21100);
  ASSERT_TRUE(all.full);
  std::map<std::string, EndpointListEntry::Health> there;
  for (const auto& h : all.hosts) there[h.name] = h.health;
  EXPECT_EQ(there,
            (std::map<std::string, EndpointListEntry::Health>{{"x", EndpointListEntry::Health::leaving},
                                                              {"y", EndpointListEntry::Health::leaving},
                                                              {"v", EndpointListEntry::Health::active}}));
  EXPECT_EQ(r.take({.seq = 5, .full = false, .hosts = {host("y")}, .skipped = {}}, 22000).hosts.size(), 1U);
}

// A list that came astray is followed by newer ones, however late: what left stays away.
TEST(Lists, OneThatCameAstrayIsNeverBelieved) {
  EndpointRegistry r;
  r.take({.seq = 90, .full = true, .hosts = {host("x")}, .skipped = {}}, 0);
  r.take({.seq = 80, .full = true, .hosts = {host("x"), host("gone")}, .skipped = {}}, 1000);
  auto next = r.take({.seq = 91, .full = false, .hosts = {host("y")}, .skipped = {}}, 60000);
  EXPECT_EQ(next.hosts.size(), 1U);
  EXPECT_TRUE(
      r.take({.seq = 81, .full = false, .hosts = {host("gone")}, .skipped = {}}, 61000).hosts.empty());
}

TEST(Lists, OfAnEndlessReleaseAreNotRememberedForGood) {
  EndpointRegistry r;
  for (int i = 1; i < 60000; ++i) {
    auto name = "s" + std::to_string(i);
    r.take({.seq = 2 * i, .full = false, .hosts = {host(name)}, .skipped = {}}, i);
    r.take({.seq = 2 * i + 1,
            .full = false,
            .hosts = {host(name, EndpointListEntry::Health::left)},
            .skipped = {}},
           i);
  }
  EXPECT_LE(r.remembered(), 20001U);
}

}  // namespace
}  // namespace meadowgauge::proxy
