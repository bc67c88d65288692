// EndpointRegistry with endpoint lists that are late, out of order or from a discovery with restarted
// versions.
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
                       double started_ms = 1) {
  return {.name = name,
          .dial = name + ":1",
          .zone = "a",
          .kind = "k",
          .health = health,
          .started_ms = started_ms};
}

// Merges the lists and applies the changes as the balancer does. Returns the health and start time of each
// endpoint.
std::map<std::string, std::pair<EndpointListEntry::Health, double>> merged_endpoints(
    const std::vector<EndpointList>& lists, EndpointRegistry& registry) {
  std::map<std::string, std::pair<EndpointListEntry::Health, double>> endpoints;
  for (const auto& list : lists) {
    auto changes = registry.merge(list, 0);
    if (changes.full) endpoints.clear();
    for (const auto& entry : changes.hosts)
      if (entry.health == EndpointListEntry::Health::left)
        endpoints.erase(entry.name);
      else
        endpoints[entry.name] = {entry.health, entry.started_ms};
  }
  return endpoints;
}

// Deltas and full lists in any order, with one repeated, must yield the same endpoints as in order of
// version. Otherwise a delayed list would restore a departed server or lose a new server.
TEST(EndpointRegistry, OrderOfListsDoesNotChangeTheResult) {
  std::mt19937 rng(11);
  for (int servers : {3, 60})
    for (int round = 0; round < 300; ++round) {
      std::map<std::string, EndpointListEntry> current;
      std::vector<EndpointList> lists;
      int next = 0;
      for (int seq = 1; seq <= 12; ++seq) {
        EndpointList list{.seq = seq, .full = seq == 1 || rng() % 3 == 0, .hosts = {}, .skipped = {}};
        for (int i = 0; i < (seq == 1 ? servers : static_cast<int>(rng() % 4)); ++i) {
          if (seq == 1 || current.empty() || rng() % 3 == 0) {
            auto entry = host("s" + std::to_string(next++), EndpointListEntry::Health::active, seq);
            current[entry.name] = entry;
            list.hosts.push_back(entry);
            continue;
          }
          auto it = std::next(current.begin(), static_cast<long>(rng() % current.size()));
          bool draining = it->second.health == EndpointListEntry::Health::leaving;
          it->second.health = draining ? EndpointListEntry::Health::left : EndpointListEntry::Health::leaving;
          list.hosts.push_back(it->second);
          if (draining) current.erase(it);
        }
        if (list.full) {
          list.hosts.clear();
          for (const auto& [name, entry] : current) list.hosts.push_back(entry);
        }
        lists.push_back(list);
      }
      EndpointRegistry in_order;
      auto expected = merged_endpoints(lists, in_order);
      // The first list stays first, because a balancer starts with it.
      std::shuffle(lists.begin() + 1, lists.end(), rng);
      lists.push_back(lists[rng() % lists.size()]);
      EndpointRegistry shuffled;
      ASSERT_EQ(merged_endpoints(lists, shuffled), expected) << "round " << round;
    }
}

TEST(EndpointRegistry, OlderListsChangeNothing) {
  EndpointRegistry registry;
  registry.merge({.seq = 5, .full = true, .hosts = {host("x"), host("y")}, .skipped = {}}, 0);
  registry.merge(
      {.seq = 7, .full = false, .hosts = {host("x", EndpointListEntry::Health::leaving)}, .skipped = {}}, 0);
  registry.merge(
      {.seq = 8, .full = true, .hosts = {host("x", EndpointListEntry::Health::leaving)}, .skipped = {}}, 0);
  for (bool full : {true, false}) {
    auto old = registry.merge(
        {.seq = 6, .full = full, .hosts = {host("x"), host("y"), host("z")}, .skipped = {}}, 0);
    EXPECT_FALSE(old.full);
    EXPECT_TRUE(old.hosts.empty());
  }
  auto empty = registry.merge({.seq = 6, .full = true, .hosts = {}, .skipped = {}}, 0);
  EXPECT_TRUE(empty.hosts.empty() && !empty.full);
}

// Guards against a balancer that ignores a discovery whose versions have restarted. Drains apply at once, and
// all other entries after 20 s without a newer list. The first list of the restarted versions does not end a
// drain.
TEST(EndpointRegistry, RestartedVersionsAreAdoptedAfterTwentySeconds) {
  EndpointRegistry registry;
  registry.merge({.seq = 90, .full = true, .hosts = {host("x"), host("y"), host("w")}, .skipped = {}}, 0);
  registry.merge(
      {.seq = 91, .full = false, .hosts = {host("y", EndpointListEntry::Health::leaving)}, .skipped = {}}, 0);
  registry.merge({.seq = 1, .full = true, .hosts = {host("x"), host("y"), host("v")}, .skipped = {}}, 1000);
  auto drain = registry.merge(
      {.seq = 2, .full = false, .hosts = {host("x", EndpointListEntry::Health::leaving)}, .skipped = {}},
      2000);
  ASSERT_EQ(drain.hosts.size(), 1U);
  EXPECT_EQ(drain.hosts[0].health, EndpointListEntry::Health::leaving);
  EXPECT_FALSE(registry.merge({.seq = 3, .full = false, .hosts = {}, .skipped = {}}, 20900).full);
  auto all = registry.merge({.seq = 4, .full = false, .hosts = {}, .skipped = {}}, 21100);
  ASSERT_TRUE(all.full);
  std::map<std::string, EndpointListEntry::Health> health_by_name;
  for (const auto& entry : all.hosts) health_by_name[entry.name] = entry.health;
  EXPECT_EQ(health_by_name,
            (std::map<std::string, EndpointListEntry::Health>{{"x", EndpointListEntry::Health::leaving},
                                                              {"y", EndpointListEntry::Health::leaving},
                                                              {"v", EndpointListEntry::Health::active}}));
  EXPECT_EQ(
      registry.merge({.seq = 5, .full = false, .hosts = {host("y")}, .skipped = {}}, 22000).hosts.size(), 1U);
}

// A single late list that is followed by a newer list must not count as a restart of the versions.
TEST(EndpointRegistry, SingleLateListIsNeverAdopted) {
  EndpointRegistry registry;
  registry.merge({.seq = 90, .full = true, .hosts = {host("x")}, .skipped = {}}, 0);
  registry.merge({.seq = 80, .full = true, .hosts = {host("x"), host("gone")}, .skipped = {}}, 1000);
  auto next = registry.merge({.seq = 91, .full = false, .hosts = {host("y")}, .skipped = {}}, 60000);
  EXPECT_EQ(next.hosts.size(), 1U);
  EXPECT_TRUE(registry.merge({.seq = 81, .full = false, .hosts = {host("gone")}, .skipped = {}}, 61000)
                  .hosts.empty());
}

TEST(EndpointRegistry, NumberOfRecordedServersIsBounded) {
  EndpointRegistry registry;
  for (int i = 1; i < 60000; ++i) {
    auto name = "s" + std::to_string(i);
    registry.merge({.seq = 2 * i, .full = false, .hosts = {host(name)}, .skipped = {}}, i);
    registry.merge({.seq = 2 * i + 1,
                    .full = false,
                    .hosts = {host(name, EndpointListEntry::Health::left)},
                    .skipped = {}},
                   i);
  }
  EXPECT_LE(registry.remembered(), 20001U);
}

}  // namespace
}  // namespace meadowgauge::proxy
