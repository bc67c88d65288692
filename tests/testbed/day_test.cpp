// Complete runs on sockets. Guards against a load generator that slows down with the servers, violations of
// the rules by the real program under faults, a testbed that misses a violation, and errors in command line
// and reports.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "testbed/comparison.hpp"
#include "testbed/fixtures.hpp"
#include "testbed/report.hpp"
#include "testbed/run_metrics.hpp"
#include "testbed/runner.hpp"

namespace meadowgauge::testbed {
namespace {

// A run of 4 s with a safe, a non-idempotent and a deduplicated request class.
const std::string four_second_run = R"(
seconds = 4
[[path_prefixes]]
name = "view"
repeat = "read-like"
work_ms = 10
client_timeout_ms = 1500
[[path_prefixes]]
name = "pay"
repeat = "mutating"
work_ms = 10
client_timeout_ms = 1500
[[path_prefixes]]
name = "put"
repeat = "tagged"
key_window_ms = 3000
work_ms = 10
client_timeout_ms = 1500
[traffic]
rate = 150
[clients]
retries = 2
backoff_ms = 50
)";
const std::string one_tier = "[[tiers]]\nservers = 5\nbalancers = 2\ncores = 4\nwarm_ms = 2000\n";

RunResult run(const Experiment& experiment, const std::string& program, std::uint64_t seed = 1) {
  RunFolder folder;
  RunOptions options;
  options.folder = folder.path();
  return run_experiment(experiment, {.name = "tested", .program = program, .args = {}, .settings = {}}, seed,
                        options);
}

// Returns the table of a fault in an experiment file. `rest`: further lines of the table.
std::string fault(const std::string& kind, double at_s, double duration_s, const std::string& rest = {}) {
  std::ostringstream text;
  text << "[[faults]]\nwhat = '" << kind << "'\nat = " << at_s << "\nfor = " << duration_s << "\n" << rest;
  return text.str();
}
std::string at_target(const std::string& which) { return "which = ['" + which + "']\n"; }

TEST(LoadGenerator, KeepsItsScheduleUnderAStalledServer) {
  auto experiment = parse_experiment(four_second_run + one_tier + fault("stall", 1, 1.5, at_target("0-4")));
  experiment.builds = {};
  auto result = run(experiment, "", 3);
  // While all servers stall, requests are still sent at the scheduled rate, and their latency counts from the
  // scheduled time.
  int sent_during_stall = 0;
  double max_latency_ms = 0;
  for (const auto& attempt : result.history.attempts) {
    double at_ms = attempt.intended_ms - result.begin_ms;
    if (attempt.number != 1 || at_ms < 1000 || at_ms >= 2500) continue;
    ++sent_during_stall;
    if (attempt.outcome == Outcome::succeeded)
      max_latency_ms = std::max(max_latency_ms, attempt.ended_ms - attempt.intended_ms);
  }
  EXPECT_NEAR(sent_during_stall, 225, 60);
  EXPECT_GT(max_latency_ms, 1000);
  Traffic traffic(experiment.traffic, experiment.request_classes, experiment.tenants, 3);
  std::vector<double> scheduled_ms;
  for (auto a = traffic.next(); a.at_ms < experiment.ms(); a = traffic.next())
    scheduled_ms.push_back(a.at_ms);
  std::size_t i = 0;
  for (const auto& attempt : result.history.attempts)
    if (attempt.number == 1) {
      ASSERT_LT(i, scheduled_ms.size());
      EXPECT_NEAR(attempt.intended_ms - result.begin_ms, scheduled_ms[i++], 1e-3);
    }
  EXPECT_EQ(i, scheduled_ms.size());
}

TEST(Run, RulesHoldUnderEachFault) {
  auto experiment = parse_experiment(
      "seconds = 14\n" + four_second_run.substr(four_second_run.find("[[path")) +
      "[[tiers]]\nservers = 6\nbalancers = 3\ncores = 4\nwarm_ms = 2000\nrelays = "
      "true\nzones = ['a', 'b']\n" +
      fault("slow", 0.5, 1, at_target("0")) + fault("fail", 1.5, 1, at_target("1")) +
      fault("silent", 2.5, 1, at_target("2")) + fault("stall", 3.5, 0.5, at_target("3")) +
      fault("kill", 4.5, 1, at_target("4")) + fault("drain", 5.5, 1, at_target("5")) +
      fault("discovery", 6.5, 2) + fault("kill", 7, 2, at_target("0")) +
      fault("kill_balancer", 8.5, 0.5, at_target("0")) + fault("restart_balancer", 9.5, 0, at_target("1")) +
      fault("freeze_balancer", 10.5, 0.2, at_target("2")) +
      fault("roll", 10.5, 2, "at_once = 2\ndrain_ms = 600\n"));
  for (const char* text :
       {"cut at=end way=server after=3 every=7 share=0.5",
        "reset at=header:Content-Length way=client after=5 every=9",
        "garble at=header:Content-Length way=client after=4 every=11",
        "half at=body way=client after=2 every=13", "half at=byte:30 way=server after=1 every=17",
        "silence at=end way=server after=6 every=19", "delay at=connect way=client ms=40 every=23",
        "throttle at=connect way=server rate=3000 every=29"})
    experiment.injections.push_back(parse_fault(text));
  auto result = run(experiment, MEADOWGAUGE_PROGRAM);
  auto run_metrics = compute_metrics(experiment, result);
  for (const auto& violation : run_metrics.verdict.violations)
    ADD_FAILURE() << rule_name(violation.rule) << ": " << violation.description;
  EXPECT_GT(run_metrics.requests, 1500U);
  EXPECT_GT(run_metrics.weighted_success, 0.5);
  EXPECT_GT(result.injected_faults.size(), 5U);
  EXPECT_EQ(run_metrics.recoveries.size(), 12U);
  EXPECT_EQ(result.history.balancer_exits.size(), 2U);
}

TEST(Run, TiersCallTheNextAndRulesHoldInEach) {
  auto experiment =
      parse_experiment("seconds = 3\n" + four_second_run.substr(four_second_run.find("[[path")) +
                       "[[path_prefixes]]\nname = 'deep'\nshare = 0\nrepeat = 'mutating'\nwork_ms = 5\n" +
                       one_tier + "[[tiers]]\nname = 'back'\nservers = 3\ncores = 4\n");
  experiment.request_classes[0].downstream_calls = 2;
  experiment.request_classes[0].downstream_class = "deep";
  auto result = run(experiment, MEADOWGAUGE_PROGRAM);
  auto run_metrics = compute_metrics(experiment, result);
  EXPECT_TRUE(run_metrics.verdict.kept());
  ASSERT_EQ(run_metrics.attempts_per_tier.size(), 2U);
  EXPECT_NEAR(run_metrics.attempts_per_tier[1], 2.0 / 3, 0.12);  // one request in three makes two calls
  EXPECT_GT(run_metrics.weighted_success, 0.8);
}

// A balancer that violates one rule: the checker must report this rule and no other.
struct BrokenProgram {
  const char* program;
  Rule rule;
  std::string rest;  // further lines of the experiment file
};

class BrokenBalancer : public testing::TestWithParam<BrokenProgram> {};

TEST_P(BrokenBalancer, IsCaughtAndNamed) {
  const auto& broken_program = GetParam();
  auto experiment = parse_experiment(four_second_run + broken_program.rest);
  auto run_metrics = compute_metrics(experiment, run(experiment, broken_program.program));
  for (int i = 0; i < rule_count; ++i)
    EXPECT_EQ(run_metrics.verdict.kept(static_cast<Rule>(i)), static_cast<Rule>(i) != broken_program.rule)
        << rule_name(static_cast<Rule>(i));
}

const std::string failing_servers = fault("fail", 0.5, 2, at_target("0-1"));
std::string broken_program_name(const testing::TestParamInfo<BrokenProgram>& info) {
  constexpr const char* names[] = {"LosesRequests", "DuplicatesEffects", "SendsToDraining",
                                   "OverloadsInSlowStart", "Crashes"};
  return names[static_cast<int>(info.param.rule)];
}
INSTANTIATE_TEST_SUITE_P(
    Run, BrokenBalancer,
    testing::Values(BrokenProgram{BROKEN_LOST, Rule::no_request_lost, one_tier + failing_servers},
                    BrokenProgram{BROKEN_DUPLICATE, Rule::no_duplicate_effect, one_tier + failing_servers},
                    BrokenProgram{BROKEN_DRAINS, Rule::drains_respected,
                                  one_tier + fault("drain", 0.5, 3, at_target("0"))},
                    BrokenProgram{
                        BROKEN_SLOW_START, Rule::slow_start_respected,
                        "[[tiers]]\nservers = 5\nbalancers = 2\ncores = 1\nqueue = 500\ncold_share = 0.1\n"
                        "warm_ms = 3000\noverload_for_ms = 400\noverload_factor = 2\n" +
                            fault("kill", 0.5, 0.5, at_target("0"))}),
    broken_program_name);

TEST(Run, BalancerCrashIsReportedAndExcusesNothing) {
  auto experiment = parse_experiment(four_second_run + one_tier);
  auto result = run(experiment, BROKEN_CRASH);
  auto run_metrics = compute_metrics(experiment, result);
  EXPECT_FALSE(run_metrics.verdict.kept(Rule::no_crash));
  EXPECT_EQ(run_metrics.verdict.excused, 0U);
  for (auto r : {Rule::no_duplicate_effect, Rule::drains_respected, Rule::slow_start_respected})
    EXPECT_TRUE(run_metrics.verdict.kept(r)) << rule_name(r);
}

TEST(Run, BalancerThatIsNeverReadyIsAnError) {
  auto experiment = parse_experiment(four_second_run + one_tier);
  EXPECT_THROW(run(experiment, "/bin/false"), std::runtime_error);
}

int exit_status(const std::string& command) {
  return WEXITSTATUS(std::system((command + " >/dev/null 2>&1").c_str()));
}

// Returns what a command writes to standard output and standard error.
std::string output_of(const std::string& command) {
  std::unique_ptr<FILE, int (*)(FILE*)> pipe(popen((command + " 2>&1").c_str(), "r"), pclose);
  std::string output;
  std::array<char, 4096> buffer{};
  while (pipe && std::fgets(buffer.data(), buffer.size(), pipe.get())) output += buffer.data();
  return output;
}

TEST(TestbedProgram, FaultOptionsAcceptTheirDeprecatedNames) {
  const std::string program = TESTBED_PROGRAM;
  const std::string relay = program + " fault --listen 127.0.0.1:0 --to 127.0.0.1:1 ";
  for (const char* option : {"--fault", "--strike"}) {
    auto output = output_of(relay + option + " 'cut at=end' " + option + " smash");
    EXPECT_NE(output.find("fault 'smash'"), std::string::npos) << option << ": " << output;
  }
  for (const char* option : {"--fault-file", "--plan"}) {
    auto output = output_of(relay + option + " /nowhere/at/all.toml");
    EXPECT_NE(output.find("/nowhere/at/all.toml"), std::string::npos) << option << ": " << output;
  }
  auto help = output_of(program + " --help");
  EXPECT_NE(help.find("--fault-file"), std::string::npos) << help;
  for (const char* deprecated : {"--strike", "--plan"})
    EXPECT_EQ(help.find(deprecated), std::string::npos) << help;
}

TEST(TestbedProgram, InvalidArgumentsHaveTheirExitStatus) {
  const std::string program = TESTBED_PROGRAM;
  EXPECT_EQ(exit_status(program + " run /nowhere/at/all.toml"), 1);
  EXPECT_EQ(exit_status(program + " fault --listen here --to there"), 1);
  EXPECT_EQ(exit_status(program + " fault --listen 127.0.0.1:0 --to 127.0.0.1:1 --fault 'smash'"), 1);
  EXPECT_EQ(exit_status(program + " fault --listen 127.0.0.1:0 --to 127.0.0.1:1 --strike 'smash'"), 1);
  EXPECT_EQ(exit_status(program + " juggle x"), 1);
  EXPECT_EQ(exit_status(program + " --help"), 0);
  for (const auto& file : std::filesystem::directory_iterator(EXPERIMENTS))
    EXPECT_EQ(exit_status(program + " check " + file.path().string()), 0) << file.path();
}

TEST(Reports, NameEveryRuleAndRowAndPairDifferences) {
  auto experiment =
      parse_experiment("seconds = 1\n" + four_second_run.substr(four_second_run.find("[[path")) + one_tier);
  auto result = run(experiment, MEADOWGAUGE_PROGRAM);
  Report r{"tested", 1, compute_metrics(experiment, result)};
  auto html = html_report(experiment, {r}), json = json_report(experiment, {r}),
       lines = text_report(experiment, r);
  for (int i = 0; i < rule_count; ++i) {
    auto name = std::string(rule_name(static_cast<Rule>(i)));
    for (const auto* text : {&html, &json, &lines}) EXPECT_NE(text->find(name), std::string::npos) << name;
  }
  for (const char* row : {"b-0-0", "b-0-1", "s-0-4"}) EXPECT_NE(html.find(row), std::string::npos) << row;
  EXPECT_NE(html.find("<polyline"), std::string::npos);
  EXPECT_EQ(html.find("http"), std::string::npos);  // the page must not load other resources
  RunMetrics a = r.metrics, b = r.metrics, c = r.metrics;
  b.weighted_success = a.weighted_success - 0.1;
  c.weighted_success = a.weighted_success - 0.3;
  auto metric_differences = differences({a, a}, {b, c});
  EXPECT_NEAR(metric_differences[0].mean, -0.2, 1e-9);
  EXPECT_NEAR(metric_differences[0].spread, 0.1414, 1e-3);
  EXPECT_EQ(metric_differences[0].pairs, 2U);
}

}  // namespace
}  // namespace meadowgauge::testbed
