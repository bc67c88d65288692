// Guards against a fleet of real balancers that admits more than its limit, or much less, under process
// faults and while datagrams between balancers are cut, dropped, delayed or corrupted. The records of the
// stand-in servers show whether the limit holds.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <vector>

#include "testbed/fixtures.hpp"
#include "testbed/run_metrics.hpp"
#include "testbed/runner.hpp"

namespace meadowgauge::testbed {
namespace {

// Two zones of three balancers (even numbers in zone a, odd numbers in zone b) share a limit. 240 requests a
// second are offered, at first all in zone a, so that its balancers borrow quota from those of zone b.
constexpr double limit_per_s = 90;  // requests a second over the fleet
constexpr double owned_per_s = 15;  // requests a second of each balancer's own share
const std::string common_settings = R"(
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
const std::string all_clients_in_zone_a =
    "[clients]\nfresh_connections = true\nzone_shares = [\"1\", \"0\"]\n";
std::string zone_shares_from(double at_s, const std::string& shares) {
  return "[[clients.moves]]\nat = " + std::to_string(at_s) + "\nzone_shares = [" + shares + "]\n";
}
const std::string between_zones = "from = [\"0\", \"2\", \"4\"]\nto = [\"1\", \"3\", \"5\"]\n";

struct FleetRun {
  RunMetrics metrics;
  const LimitRow& row() const { return metrics.limits.front(); }
  // Returns the requests a second admitted from `from_s` to `until_s` by the balancers `by`.
  double admitted(double from_s, double until_s,
                  const std::vector<std::size_t>& by = {0, 1, 2, 3, 4, 5}) const {
    double sum = 0;
    auto first = static_cast<std::size_t>(from_s * 2), last = static_cast<std::size_t>(until_s * 2);
    for (auto balancer : by)
      for (auto i = first; i < last; ++i) sum += row().by[balancer][i];
    return sum / static_cast<double>(last - first);
  }
};

RunResult run_program(const Experiment& experiment, bool verdicts = true) {
  RunFolder folder;
  RunOptions options;
  options.folder = folder.path();
  BuildSpec build{
      .name = "tested", .program = MEADOWGAUGE_PROGRAM, .args = {}, .settings = {}, .verdicts = verdicts};
  return run_experiment(experiment, build, 1, options);
}

FleetRun run(double seconds, const std::string& text, const std::string& fleet = {}) {
  auto experiment = parse_experiment("front_notices_ms = 50\nseconds = " + std::to_string(seconds) + "\n" +
                                     text + common_settings + fleet);
  FleetRun run{compute_metrics(experiment, run_program(experiment))};
  for (const auto& violation : run.metrics.verdict.violations)
    ADD_FAILURE() << rule_name(violation.rule) << ": " << violation.description;
  for (std::size_t i = 0; i < run.row().slices.size(); ++i)
    std::printf("%s%.0f", i ? " " : "[ admitted ] ", run.row().slices[i]);
  std::printf("\n");
  return run;
}

TEST(FleetRun, HalvesArePartitionedAndBothHaveTraffic) {
  auto result = run(10, all_clients_in_zone_a + zone_shares_from(3, "\"1\", \"1\"") +
                            zone_shares_from(6, "\"0\", \"1\"") +
                            "[[letters]]\nwhat = \"cut\"\nboth = true\nat = 3\nfor = 3\n" + between_zones);
  EXPECT_GT(result.admitted(2, 3), 0.85 * limit_per_s);
  EXPECT_GT(result.admitted(4.5, 6, {0, 2, 4}), 0.7 * 3 * owned_per_s);
  EXPECT_GT(result.admitted(4.5, 6, {1, 3, 5}), 0.7 * 3 * owned_per_s);
  EXPECT_GT(result.admitted(8, 10), 0.85 * limit_per_s);  // 2 s after the end of the partition
}

TEST(FleetRun, OneIsPartitionedFromAllWithTraffic) {
  auto result = run(9, all_clients_in_zone_a +
                           "[[letters]]\nwhat = \"cut\"\nboth = true\nat = 3\nfor = 3\nfrom = [\"0\"]\n");
  EXPECT_GT(result.admitted(4.5, 6, {0}), 0.7 * owned_per_s);
  EXPECT_GT(result.admitted(4.5, 6), 0.85 * limit_per_s);
  EXPECT_GT(result.admitted(8, 9), 0.85 * limit_per_s);
}

TEST(FleetRun, DatagramsPassInOneDirectionOnly) {
  auto result = run(9, all_clients_in_zone_a + zone_shares_from(4, "\"1\", \"1\"") +
                           "[[letters]]\nwhat = \"cut\"\nat = 3\nfor = 3\n" + between_zones);
  EXPECT_GT(result.admitted(4.5, 6, {0, 2, 4}), 0.7 * 3 * owned_per_s);
  EXPECT_GT(result.admitted(4.5, 6, {1, 3, 5}), 0.7 * 3 * owned_per_s);
  EXPECT_GT(result.admitted(8, 9), 0.85 * limit_per_s);
}

// Guards against lenders that forget their leases: they have lent their complete shares, are killed, and get
// traffic at once after the restart.
TEST(FleetRun, LendersAreKilledAndRestartedAtOnceUnderLoad) {
  auto result =
      run(10,
          all_clients_in_zone_a + zone_shares_from(3, "\"1\", \"1\"") +
              "[[faults]]\nwhat = \"kill_balancer\"\nat = 3\nfor = 0.05\nwhich = [\"1\", \"3\", \"5\"]\n",
          "lease_ms = 2000\n");
  EXPECT_GT(result.admitted(8, 10), 0.85 * limit_per_s);
}

// Guards against the use of expired grants: a request for quota and its grant take almost a lease each, so
// that the lease expires before the grant arrives.
TEST(FleetRun, DatagramsAreDelayedByMostOfALease) {
  auto result = run(9, all_clients_in_zone_a + zone_shares_from(4, "\"1\", \"1\"") +
                           "[[letters]]\nwhat = \"delay\"\nms = 850\nat = 0.5\nfor = 6\n");
  EXPECT_GT(result.admitted(2.5, 4), 0.7 * 3 * owned_per_s);
  EXPECT_GT(result.admitted(8, 9), 0.85 * limit_per_s);
}

TEST(FleetRun, BorrowersArePausedAcrossALeaseExpiry) {
  auto result =
      run(9, all_clients_in_zone_a + zone_shares_from(3, "\"1\", \"1\"") +
                 "[[faults]]\nwhat = \"freeze_balancer\"\nat = 3\nfor = 2.5\nwhich = [\"0\", \"2\"]\n");
  EXPECT_GT(result.admitted(4.5, 5.5),
            0.7 * 4 * owned_per_s);  // the shares of the two paused balancers are unused
  EXPECT_GT(result.admitted(7.5, 9), 0.85 * limit_per_s);
}

// Guards against a balancer that exceeds the limit with a slow loop: it runs for 80 ms of every 200 ms, so
// that it receives, sends and admits late.
TEST(FleetRun, OneHasASlowLoop) {
  std::string text = all_clients_in_zone_a + zone_shares_from(4, "\"1\", \"1\"");
  for (int k = 0; k < 20; ++k)
    text += "[[faults]]\nwhat = \"freeze_balancer\"\nat = " + std::to_string(2 + 0.2 * k) +
            "\nfor = 0.12\nwhich = [\"0\"]\n";
  auto result = run(9, text);
  EXPECT_GT(result.admitted(4.5, 6, {1, 2, 3, 4, 5}), 0.7 * 5 * owned_per_s);
  EXPECT_GT(result.admitted(8, 9), 0.85 * limit_per_s);
}

TEST(FleetRun, RollingRestartOfAll) {
  std::string text = all_clients_in_zone_a + zone_shares_from(3, "\"1\", \"1\"");
  for (int balancer = 0; balancer < 6; ++balancer)
    text += "[[faults]]\nwhat = \"restart_balancer\"\nat = " + std::to_string(3 + 0.4 * balancer) +
            "\nwhich = [\"" + std::to_string(balancer) + "\"]\n";
  auto result = run(12, text);
  EXPECT_GT(result.admitted(10, 12), 0.85 * limit_per_s);
}

TEST(FleetRun, AllDatagramFaultsTogether) {
  std::string text = all_clients_in_zone_a + zone_shares_from(4, "\"1\", \"2\"");
  for (const char* f : {"what = \"lose\"\nshare = 0.5", "what = \"twice\"\nshare = 0.4\nms = 1700",
                        "what = \"reorder\"\nshare = 0.4\nms = 300",
                        "what = \"delay\"\nshare = 0.1\nms = 1200", "what = \"garble\"\nshare = 0.1"})
    text += std::string("[[letters]]\n") + f + "\n";
  auto result = run(8, text);
  EXPECT_GT(result.admitted(2.5, 4), 0.6 * limit_per_s);
  EXPECT_GT(result.admitted(6, 8), 0.6 * limit_per_s);
}

// Guards against a limit that breaks when peers are added during a partition: four running balancers are
// reloaded with two new peers, which only one side of the partition can reach.
TEST(FleetRun, PeersAreAddedByAReloadDuringAPartition) {
  auto result =
      run(10,
          all_clients_in_zone_a + zone_shares_from(3.5, "\"1\", \"1\"") +
              "[[letters]]\nwhat = \"cut\"\nboth = true\nat = 2\nfor = 4\nfrom = [\"0-1\", \"4-5\"]\nto = "
              "[\"2-3\"]\n"
              "[[faults]]\nwhat = \"reload_balancer\"\nat = 3\nwhich = [\"0-3\"]\nmembers = [\"0-5\"]\n"
              "[[faults]]\nwhat = \"kill_balancer\"\nat = 0\nfor = 3.5\nwhich = [\"4-5\"]\n",
          "members = [\"0-3\"]\n");
  EXPECT_GT(result.admitted(8, 10), 0.85 * limit_per_s);
}

// Guards against a loss that grows with the number of balancers. Twelve requests a second reach each of eight
// servers, one of which does not respond for four seconds. Without shared verdicts each balancer loses
// requests there after each ejection; shared verdicts bound the loss over the fleet.
TEST(FleetRun, SharedVerdictsLimitBlackHoledRequests) {
  for (bool verdicts : {true, false}) {
    auto experiment = parse_experiment(R"(
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
    auto result = run_program(experiment, verdicts);
    for (const auto& violation : check_history(result.history, result.contract).violations)
      ADD_FAILURE() << rule_name(violation.rule) << ": " << violation.description;
    int black_holed = 0, answered_after_fault = 0;
    for (const auto& record : result.history.server_records) {
      if (record.server != 3) continue;
      double at_ms = record.first_byte_ms - result.begin_ms;
      if (at_ms > 3000 && at_ms < 7000 && record.answered_ms == never) ++black_holed;
      if (at_ms > 8500 && record.answered_ms != never) ++answered_after_fault;
    }
    std::printf("[ unanswered ] %d with verdicts %s, %d answered after the fault\n", black_holed,
                verdicts ? "on" : "off", answered_after_fault);
    if (verdicts) {
      EXPECT_LE(black_holed, 11);
      EXPECT_GT(answered_after_fault, 3);
    } else {
      EXPECT_GT(black_holed, 11);
    }
  }
}

}  // namespace
}  // namespace meadowgauge::testbed
