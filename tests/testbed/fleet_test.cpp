// Processes of one fleet that fail together: real balancers, datagrams between them cut, dropped, delayed and
// corrupted, and the verdict on their common limit from the records of the stand-in servers.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <vector>

#include "testbed/fixtures.hpp"
#include "testbed/run_metrics.hpp"
#include "testbed/runner.hpp"

namespace meadowgauge::testbed {
namespace {

// Two zones of three balancers (even numbers in one, odd ones in the other), one limit of 90 a second of
// which each owns 15; 240 a second are asked for, at the begin all in the first zone, so that it has borrowed
// from the second.
constexpr double limit = 90, part = 15;
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
std::string zone_shares_from(double at, const std::string& shares) {
  return "[[clients.moves]]\nat = " + std::to_string(at) + "\nzone_shares = [" + shares + "]\n";
}
const std::string between_zones = "from = [\"0\", \"2\", \"4\"]\nto = [\"1\", \"3\", \"5\"]\n";

struct FleetRun {
  RunMetrics metrics;
  const LimitRow& row() const { return metrics.limits.front(); }
  // Admitted a second from `from` to `until` s, by these balancers or all.
  double admitted(double from, double until, const std::vector<std::size_t>& by = {0, 1, 2, 3, 4, 5}) const {
    double sum = 0;
    auto first = static_cast<std::size_t>(from * 2), last = static_cast<std::size_t>(until * 2);
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
  EXPECT_GT(result.admitted(2, 3), 0.85 * limit);
  EXPECT_GT(result.admitted(4.5, 6, {0, 2, 4}), 0.7 * 3 * part);
  EXPECT_GT(result.admitted(4.5, 6, {1, 3, 5}), 0.7 * 3 * part);
  EXPECT_GT(result.admitted(8, 10), 0.85 * limit);  // 2 s after it healed
}

TEST(FleetRun, OneIsPartitionedFromAllWithTraffic) {
  auto result =
      run(9, all_in_a + "[[letters]]\nwhat = \"cut\"\nboth = true\nat = 3\nfor = 3\nfrom = [\"0\"]\n");
  EXPECT_GT(result.admitted(4.5, 6, {0}), 0.7 * part);
  EXPECT_GT(result.admitted(4.5, 6), 0.85 * limit);
  EXPECT_GT(result.admitted(8, 9), 0.85 * limit);
}

TEST(FleetRun, DatagramsPassInOneDirectionOnly) {
  auto result = run(9, all_in_a + zone_shares_from(4, "\"1\", \"1\"") +
                           "[[letters]]\nwhat = \"cut\"\nat = 3\nfor = 3\n" + between_zones);
  EXPECT_GT(result.admitted(4.5, 6, {0, 2, 4}), 0.7 * 3 * part);
  EXPECT_GT(result.admitted(4.5, 6, {1, 3, 5}), 0.7 * 3 * part);
  EXPECT_GT(result.admitted(8, 9), 0.85 * limit);
}

// They had lent all they own, and traffic comes to them the moment they are back.
TEST(FleetRun, LendersAreKilledAndRestartedAtOnceUnderLoad) {
  auto result =
      run(10,
          all_in_a + zone_shares_from(3, "\"1\", \"1\"") +
              "[[faults]]\nwhat = \"kill_balancer\"\nat = 3\nfor = 0.05\nwhich = [\"1\", \"3\", \"5\"]\n",
          "lease_ms = 2000\n");
  EXPECT_GT(result.admitted(8, 10), 0.85 * limit);
}

// An ask and its grant take almost a lease each: what is granted has lapsed when it comes.
TEST(FleetRun, DatagramsAreDelayedByMostOfALease) {
  auto result = run(9, all_in_a + zone_shares_from(4, "\"1\", \"1\"") +
                           "[[letters]]\nwhat = \"delay\"\nms = 850\nat = 0.5\nfor = 6\n");
  EXPECT_GT(result.admitted(2.5, 4), 0.7 * 3 * part);
  EXPECT_GT(result.admitted(8, 9), 0.85 * limit);
}

TEST(FleetRun, BorrowersArePausedAcrossALeaseExpiry) {
  auto result =
      run(9, all_in_a + zone_shares_from(3, "\"1\", \"1\"") +
                 "[[faults]]\nwhat = \"freeze_balancer\"\nat = 3\nfor = 2.5\nwhich = [\"0\", \"2\"]\n");
  EXPECT_GT(result.admitted(4.5, 5.5), 0.7 * 4 * part);  // the parts of those two lie idle
  EXPECT_GT(result.admitted(7.5, 9), 0.85 * limit);
}

// It gets a turn for 80 ms in each 200: what it reads late, answers late and lets through late.
TEST(FleetRun, OneHasASlowLoop) {
  std::string text = all_in_a + zone_shares_from(4, "\"1\", \"1\"");
  for (int k = 0; k < 20; ++k)
    text += "[[faults]]\nwhat = \"freeze_balancer\"\nat = " + std::to_string(2 + 0.2 * k) +
            "\nfor = 0.12\nwhich = [\"0\"]\n";
  auto result = run(9, text);
  EXPECT_GT(result.admitted(4.5, 6, {1, 2, 3, 4, 5}), 0.7 * 5 * part);
  EXPECT_GT(result.admitted(8, 9), 0.85 * limit);
}

TEST(FleetRun, RollingRestartOfAll) {
  std::string text = all_in_a + zone_shares_from(3, "\"1\", \"1\"");
  for (int b = 0; b < 6; ++b)
    text += "[[faults]]\nwhat = \"restart_balancer\"\nat = " + std::to_string(3 + 0.4 * b) + "\nwhich = [\"" +
            std::to_string(b) + "\"]\n";
  auto result = run(12, text);
  EXPECT_GT(result.admitted(10, 12), 0.85 * limit);
}

TEST(FleetRun, DatagramsAreDroppedDuplicatedDelayedReorderedAndCorrupted) {
  std::string text = all_in_a + zone_shares_from(4, "\"1\", \"2\"");
  for (const char* f : {"what = \"lose\"\nshare = 0.5", "what = \"twice\"\nshare = 0.4\nms = 1700",
                        "what = \"reorder\"\nshare = 0.4\nms = 300",
                        "what = \"delay\"\nshare = 0.1\nms = 1200", "what = \"garble\"\nshare = 0.1"})
    text += std::string("[[letters]]\n") + f + "\n";
  auto result = run(8, text);
  EXPECT_GT(result.admitted(2.5, 4), 0.6 * limit);
  EXPECT_GT(result.admitted(6, 8), 0.6 * limit);
}

// Four that run learn of two newcomers while they are partitioned; the newcomers start and are received by
// one side.
TEST(FleetRun, PeersAreAddedByAReloadDuringAPartition) {
  auto result =
      run(10,
          all_in_a + zone_shares_from(3.5, "\"1\", \"1\"") +
              "[[letters]]\nwhat = \"cut\"\nboth = true\nat = 2\nfor = 4\nfrom = [\"0-1\", \"4-5\"]\nto = "
              "[\"2-3\"]\n"
              "[[faults]]\nwhat = \"reload_balancer\"\nat = 3\nwhich = [\"0-3\"]\nmembers = [\"0-5\"]\n"
              "[[faults]]\nwhat = \"kill_balancer\"\nat = 0\nfor = 3.5\nwhich = [\"4-5\"]\n",
          "members = [\"0-3\"]\n");
  EXPECT_GT(result.admitted(8, 10), 0.85 * limit);
}

// Twelve requests a second for each of eight servers; one answers none for four seconds. Each balancer alone
// lost one or two there, again after each bench. Once it answers it is used again.
TEST(FleetRun, ABlackHoledServerIsLeftByAllAndTriedByOne) {
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
      double at = record.first_byte_ms - result.begin_ms;
      if (at > 3000 && at < 7000 && record.answered_ms == never) ++black_holed;
      if (at > 8500 && record.answered_ms != never) ++after;
    }
    std::printf("[ swallowed ] %d with verdicts %s, %d answered there after\n", black_holed,
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
