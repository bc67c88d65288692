// Tests of experiment files, the schedule of their faults' actions, and the lifecycle of a balancer process.
#include "testbed/experiment.hpp"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "testbed/balancer_lifecycle.hpp"
#include "testbed/schedule.hpp"

namespace meadowgauge::testbed {
namespace {

TEST(Schedule, RollingRestartDrainsStopsAndRestartsInBatches) {
  Experiment experiment;
  experiment.tiers.resize(1);
  experiment.tiers[0].servers = 4;
  FaultSpec fault;
  fault.kind = FaultSpec::Kind::rolling_restart;
  fault.at_ms = 1000;
  fault.for_ms = 4000;
  fault.at_once = 2;
  fault.drain_ms = 500;
  fault.down_ms = 100;
  experiment.faults = {fault};
  using Kind = Action::Kind;
  std::vector<std::pair<double, Kind>> of_third;
  for (const auto& action : schedule_actions(experiment, 1))
    if (action.target_index == 2) of_third.emplace_back(action.at_ms, action.kind);
  EXPECT_EQ(of_third, (std::vector<std::pair<double, Kind>>{{3000, Kind::announce_draining},
                                                            {3500, Kind::drain},
                                                            {3800, Kind::stop},
                                                            {3800, Kind::announce_removed},
                                                            {3900, Kind::start_in_slow_start},
                                                            {3900, Kind::announce_active}}));
}

TEST(Schedule, EachFaultThatBeginsEnds) {
  Experiment experiment;
  experiment.tiers.resize(1);
  for (auto kind :
       {FaultSpec::Kind::slow, FaultSpec::Kind::fail, FaultSpec::Kind::silent, FaultSpec::Kind::discovery}) {
    FaultSpec f;
    f.kind = kind;
    f.at_ms = 100;
    f.for_ms = 50;
    experiment.faults.push_back(f);
  }
  auto all = schedule_actions(experiment, 1);
  ASSERT_EQ(all.size(), 8U);
  for (std::size_t i = 0; i < 4; ++i) {
    EXPECT_GT(all[i].value, 0);
    EXPECT_EQ(all[i + 4].value, 0);
    EXPECT_EQ(all[i + 4].at_ms, 150);
  }
}

TEST(BalancerLifecycle, CrashesAreNotExitsAndOverdueExitsAreKilled) {
  using Signal = BalancerLifecycle::Signal;
  using Cause = BalancerExit::Cause;
  const Action kill{.kind = Action::Kind::kill, .at_ms = 100, .value = 300};
  const Action terminate{.kind = Action::Kind::terminate, .at_ms = 100, .value = 100};
  BalancerLifecycle killed;
  EXPECT_EQ(killed.apply(kill, 1000, 1100), Signal::kill);
  EXPECT_EQ(killed.exited(0, 0, -9, 1101).cause, Cause::killed);
  EXPECT_EQ(killed.apply(terminate, 1000, 1150), Signal::none);  // the process is not running
  EXPECT_FALSE(killed.take_restart(1299));
  EXPECT_TRUE(killed.take_restart(1300));
  EXPECT_FALSE(killed.take_restart(1400));
  EXPECT_EQ(killed.exited(0, 0, 0, 1500).cause, Cause::crashed);  // an exit that no action requested
  EXPECT_FALSE(killed.take_restart(9999));

  BalancerLifecycle planned;
  EXPECT_EQ(planned.apply(terminate, 1000, 1100), Signal::terminate);
  EXPECT_EQ(planned.apply(terminate, 1000, 1200), Signal::none);
  EXPECT_EQ(planned.overdue_signal(9000), Signal::none);
  auto well = planned;
  EXPECT_EQ(well.exited(0, 0, 0, 4000).cause, Cause::planned);
  EXPECT_TRUE(well.take_restart(4000));
  EXPECT_EQ(planned.overdue_signal(9101), Signal::kill);
  EXPECT_EQ(planned.overdue_signal(9102), Signal::none);
  EXPECT_EQ(planned.exited(0, 0, -9, 9103).cause, Cause::crashed);  // the graceful shutdown timed out
}

const std::string minimal =
    "[[tiers]]\nservers = 3\n[[path_prefixes]]\nname = 'view'\nrepeat = 'read-like'\n";

TEST(ExperimentFile, ErrorsNameLineAndColumn) {
  auto first_problem = [](const std::string& text) {
    std::vector<settings::Problem> problems;
    Experiment::read(settings::read_text(text, "x.toml"), "x.toml", problems);
    return problems.empty() ? std::string{} : settings::format_problem("x.toml", problems.front());
  };
  EXPECT_EQ(first_problem(minimal), "");
  EXPECT_EQ(first_problem("secondz = 3\n" + minimal), "x.toml:1:1: secondz is not known");
  EXPECT_EQ(first_problem(minimal + "[[faults]]\nwhat = 'burn'\nat = 1\n").substr(0, 46),
            "x.toml:7:1: faults[0].what is not kill, roll, ");
  EXPECT_EQ(first_problem(minimal + "[[faults]]\nwhat = 'kill'\nat = 1\nwhich = ['7']\n"),
            "x.toml:6:3: faults name target 7, but the tier has 3");
  EXPECT_EQ(first_problem(minimal + "[[faults]]\nwhat = 'kill'\nat = 99\n"),
            "x.toml:8:1: faults[0].at is after the end of the run");
  EXPECT_EQ(first_problem("strikes = ['cut at=end']\n" + minimal),
            "x.toml:1:1: strikes need a tier with relays = true");
  EXPECT_EQ(first_problem("strikes = ['cut at=moon']\n" + minimal).substr(0, 55),
            "x.toml:1:1: strikes holds an invalid fault 'cut at=moon");
  EXPECT_EQ(first_problem(minimal + "calls = 1\ncalls_to = 'deep'\n").substr(0, 12), "x.toml:3:3: ");
  EXPECT_EQ(first_problem("[[tiers]]\n"), "x.toml:1:1: path_prefixes is missing");
}

TEST(ExperimentFile, FaultsHitTheSameTargetsForASeed) {
  std::vector<settings::Problem> problems;
  auto experiment = Experiment::read(
      settings::read_text(minimal + "[[faults]]\nwhat = 'slow'\nat = 1\nsome = 0.34\n", "x"), "x", problems);
  experiment.tiers[0].servers = 30;
  EXPECT_EQ(experiment.targets_of(0, 5).size(), 10U);
  EXPECT_EQ(experiment.targets_of(0, 5), experiment.targets_of(0, 5));
  EXPECT_NE(experiment.targets_of(0, 5), experiment.targets_of(0, 6));
}

}  // namespace
}  // namespace meadowgauge::testbed
