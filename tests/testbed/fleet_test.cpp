// Faults in a fleet of real balancers, with datagrams between them cut, dropped, delayed and corrupted. The
// records of the stand-in servers show whether the fleet's limit holds.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <vector>

#include "testbed/fixtures.hpp"
#include "testbed/run_metrics.hpp"
#include "testbed/runner.hpp"

namespace meadowgauge::testbed {
namespace {

// Two zones of three balancers (even numbers in one, odd ones in the other) share a limit. 240 requests a
// second are offered, at first all in the first zone, so that its balancers borrow from those of the second.
constexpr double limit_per_s = 90;  // requests over the fleet
constexpr double part_per_s = 15;   // requests that each balancer owns
const std::string common = R"(
[[tiers]]
servers = 4
balancers = 6
zones = ["a", "b"]
cores = 8
warm_ms = 0
[[path_prefixes]]
name = "view"
repeat = "read-like"
work_ms = 4
client_timeout_ms = 1500
[[tenants]]
name = "acme"
[traffic]
rate = 240
[[fleet.limits]]
tenant = "acme"
rate = 90
burst = 12
[fleet]
)";
const std::string all_in_a = "[clients]\nfresh_connections = true\nzone_shares = [\"1\", \"0\"]\n";
std::string zone_shares_from(double at_s, const std::string& shares) {
  return "[[clients.moves]]\nat = " + std::to_string(at_s) + "\nzone_shares = [" + shares + "]\n";
}
const std::string between_zones = "from = [\"0\", \"2\", \"4\"]\nto = [\"1\", \"3\", \"5\"]\n";

struct FleetRun {
  RunMetrics metrics;
  const LimitRow& row() const { return metrics.limits.front(); }
  // Requests a second admitted from `from_s` to `until_s`, by these balancers or all.
  double admitted(double from_s, double until_s,
                  const std::vector<std::size_t>& by = {0, 1, 2, 3, 4, 5}) const {
    double sum = 0;
    auto first = static_cast<std::size_t>(from_s * 2), last = static_cast<std::size_t>(until_s * 2);
    for (auto b : by)
      for (auto i = first; i < last; ++i) sum += row().by[b][i];
    return sum / static_cast<double>(last - first);
  }
};

RunResult run_program(const Experiment& e, bool verdicts = true) {
  RunFolder folder;
  RunOptions options;
  options.folder = folder.path();
  BuildSpec build{
      .name = "tested", .program = MEADOWGAUGE_PROGRAM, .args = {}, .settings = {}, .verdicts = verdicts};
  return run_experiment(e, build, 1, options);
}

FleetRun run(double seconds, const std::string& text, const std::string& fleet = {}) {
  auto e = experiment("front_notices_ms = 50\nseconds = " + std::to_string(seconds) + "\n" + text + common +
                      fleet);
  FleetRun run{compute_metrics(e, run_program(e))};
  for (const auto& violation : run.metrics.verdict.violations)
    ADD_FAILURE() << rule_name(violation.rule) << ": " << violation.description;
  for (std::size_t i = 0; i < run.row().slices.size(); ++i)
    std::printf("%s%.0f", i ? " " : "[ admitted ] ", run.row().slices[i]);
  std::printf("\n");
  return run;
}

TEST(FleetRun, HalvesArePartitionedAndBothHaveTraffic) {
  auto result = run(10, all_in_a + zone_shares_from(3, "\"1\", \"1\"") + zone_shares_from(6, "\"0\", \"1\"") +
                            "[[letters]]\nwhat = \"cut\"\nboth = true\nat = 3\nfor = 3\n" + between_zones);
  EXPECT_GT(result.admitted(2, 3), 0.85 * limit_per_s);
  EXPECT_GT(result.admitted(4.5, 6, {0, 2, 4}), 0.7 * 3 * part_per_s);
  EXPECT_GT(result.admitted(4.5, 6, {1, 3, 5}), 0.7 * 3 * part_per_s);
  EXPECT_GT(result.admitted(8, 10), 0.85 * limit_per_s);  // 2 s after the partition has ended
}

TEST(FleetRun, OneIsPartitionedFromAllWithTraffic) {
  auto result =
      run(9, all_in_a + "[[letters]]\nwhat = \"cut\"\nboth = true\nat = 3\nfor = 3\nfrom = [\"0\"]\n");
  EXPECT_GT(result.admitted(4.5, 6, {0}), 0.7 * part_per_s);
  EXPECT_GT(result.admitted(4.5, 6), 0.85 * limit_per_s);
  EXPECT_GT(result.admitted(8, 9), 0.85 * limit_per_s);
}

TEST(FleetRun, DatagramsPassInOneDirectionOnly) {
  auto result = run(9, all_in_a + zone_shares_from(4, "\"1\", \"1\"") +
                           "[[letters]]\nwhat = \"cut\"\nat = 3\nfor = 3\n" + between_zones);
  EXPECT_GT(result.admitted(4.5, 6, {0, 2, 4}), 0.7 * 3 * part_per_s);
  EXPECT_GT(result.admitted(4.5, 6, {1, 3, 5}), 0.7 * 3 * part_per_s);
  EXPECT_GT(result.admitted(8, 9), 0.85 * limit_per_s);
}

// The lenders have lent their complete parts, and get traffic at once after the restart.
TEST(FleetRun, LendersAreKilledAndRestartedAtOnceUnderLoad) {
  auto result =
      run(10,
          all_in_a + zone_shares_from(3, "\"1\", \"1\"") +
              "[[faults]]\nwhat = \"kill_balancer\"\nat = 3\nfor = 0.05\nwhich = [\"1\", \"3\", \"5\"]\n",
          "lease_ms = 2000\n");
  EXPECT_GT(result.admitted(8, 10), 0.85 * limit_per_s);
}

// A request for quota and its grant take almost a lease each: the lease expires before the grant arrives.
TEST(FleetRun, DatagramsAreDelayedByMostOfALease) {
  auto result = run(9, all_in_a + zone_shares_from(4, "\"1\", \"1\"") +
                           "[[letters]]\nwhat = \"delay\"\nms = 850\nat = 0.5\nfor = 6\n");
  EXPECT_GT(result.admitted(2.5, 4), 0.7 * 3 * part_per_s);
  EXPECT_GT(result.admitted(8, 9), 0.85 * limit_per_s);
}

TEST(FleetRun, BorrowersArePausedAcrossALeaseExpiry) {
  auto result =
      run(9, all_in_a + zone_shares_from(3, "\"1\", \"1\"") +
                 "[[faults]]\nwhat = \"freeze_balancer\"\nat = 3\nfor = 2.5\nwhich = [\"0\", \"2\"]\n");
  EXPECT_GT(result.admitted(4.5, 5.5),
            0.7 * 4 * part_per_s);  // the parts of the two paused balancers are unused
  EXPECT_GT(result.admitted(7.5, 9), 0.85 * limit_per_s);
}

// One balancer runs for 80 ms of every 200 ms, so that it receives, sends and admits late.
TEST(FleetRun, OneHasASlowLoop) {
  std::string text = all_in_a + zone_shares_from(4, "\"1\", \"1\"");
  for (int k = 0; k < 20; ++k)
    text += "[[faults]]\nwhat = \"freeze_balancer\"\nat = " + std::to_string(2 + 0.2 * k) +
            "\nfor = 0.12\nwhich = [\"0\"]\n";
  auto result = run(9, text);
  EXPECT_GT(result.admitted(4.5, 6, {1, 2, 3, 4, 5}), 0.7 * 5 * part_per_s);
  EXPECT_GT(result.admitted(8, 9), 0.85 * limit_per_s);
}

TEST(FleetRun, RollingRestartOfAll) {
  std::string text = all_in_a + zone_shares_from(3, "\"1\", \"1\"");
  for (int b = 0; b < 6; ++b)
    text += "[[faults]]\nwhat = \"restart_balancer\"\nat = " + std::to_string(3 + 0.4 * b) + "\nwhich = [\"" +
            std::to_string(b) + "\"]\n";
  auto result = run(12, text);
  EXPECT_GT(result.admitted(10, 12), 0.85 * limit_per_s);
}

TEST(FleetRun, AllDatagramFaultsTogether) {
  std::string text = all_in_a + zone_shares_from(4, "\"1\", \"2\"");
  for (const char* f : {"what = \"lose\"\nshare = 0.5", "what = \"twice\"\nshare = 0.4\nms = 1700",
                        "what = \"reorder\"\nshare = 0.4\nms = 300",
                        "what = \"delay\"\nshare = 0.1\nms = 1200", "what = \"garble\"\nshare = 0.1"})
    text += std::string("[[letters]]\n") + f + "\n";
  auto result = run(8, text);
  EXPECT_GT(result.admitted(2.5, 4), 0.6 * limit_per_s);
  EXPECT_GT(result.admitted(6, 8), 0.6 * limit_per_s);
}

// Four running balancers are reloaded with two new peers during a partition; one side can reach the new
// peers.
TEST(FleetRun, PeersAreAddedByAReloadDuringAPartition) {
  auto result =
      run(10,
          all_in_a + zone_shares_from(3.5, "\"1\", \"1\"") +
              "[[letters]]\nwhat = \"cut\"\nboth = true\nat = 2\nfor = 4\nfrom = [\"0-1\", \"4-5\"]\nto = "
              "[\"2-3\"]\n"
              "[[faults]]\nwhat = \"reload_balancer\"\nat = 3\nwhich = [\"0-3\"]\nmembers = [\"0-5\"]\n"
              "[[faults]]\nwhat = \"kill_balancer\"\nat = 0\nfor = 3.5\nwhich = [\"4-5\"]\n",
          "members = [\"0-3\"]\n");
  EXPECT_GT(result.admitted(8, 10), 0.85 * limit_per_s);
}

// Twelve requests a second reach each of eight servers, one of which doesn't respond for four seconds. Each
// balancer alone loses requests there after each ejection; shared verdicts bound the loss over the fleet.
TEST(FleetRun, SharedVerdictsLimitBlackHoledRequests) {
  for (bool verdicts : {true, false}) {
    auto e = experiment(R"(
seconds = 10
[[tiers]]
servers = 8
balancers = 8
zones = ["a"]
cores = 4
warm_ms = 0
[[path_prefixes]]
name = "view"
repeat = "read-like"
work_ms = 10
client_timeout_ms = 1500
[traffic]
rate = 100
[clients]
fresh_connections = true
[[faults]]
what = "silent"
which = ["3"]
at = 3
for = 4
[[letters]]
what = "lose"
share = 0.1
[fleet]
verdicts = true
)");
    auto result = run_program(e, verdicts);
    for (const auto& violation : check_history(result.history, result.contract).violations)
      ADD_FAILURE() << rule_name(violation.rule) << ": " << violation.description;
    int black_holed = 0, after = 0;
    for (const auto& record : result.history.server_records) {
      if (record.server != 3) continue;
      double at_ms = record.first_byte_ms - result.begin_ms;
      if (at_ms > 3000 && at_ms < 7000 && record.answered_ms == never) ++black_holed;
      if (at_ms > 8500 && record.answered_ms != never) ++after;
    }
    std::printf("[ unanswered ] %d with verdicts %s, %d answered after the fault\n", black_holed,
                verdicts ? "on" : "off", after);
    if (verdicts) {
      EXPECT_LE(black_holed, 11);
      EXPECT_GT(after, 3);
    } else {
      EXPECT_GT(black_holed, 11);
    }
  }
}

}  // namespace
}  // namespace meadowgauge::testbed
