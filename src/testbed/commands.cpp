#include "testbed/commands.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "testbed/comparison.hpp"
#include "testbed/report.hpp"
#include "testbed/runner.hpp"

namespace meadowgauge::testbed {

namespace {

constexpr int exit_rule_violated = 3;
constexpr int exit_stopped = 130;

bool is_executable(const std::string& path) { return access(path.c_str(), X_OK) == 0; }

// Finds a build by its name in the experiment, `direct`, or the path of a program.
BuildSpec find_build(const Experiment& experiment, const std::string& name) {
  for (const auto& build : experiment.builds)
    if (build.name == name) return build;
  if (name == "direct") return {.name = name, .program = {}, .args = {}, .settings = {}};
  if (is_executable(name) && !std::filesystem::is_directory(name))
    return {.name = name, .program = name, .args = {}, .settings = {}};
  throw UsageError(experiment.file + " has no build " + name + ", and no program has this path");
}

// Finds a build and checks that its program is executable, so that no run starts with a missing program.
BuildSpec require_build(const Experiment& experiment, const std::string& name) {
  auto build = find_build(experiment, name);
  if (!build.program.empty() && !is_executable(build.program))
    throw UsageError("build " + build.name + ": no executable program at " + build.program);
  return build;
}

// Finds the named builds; without names, the experiment's first build.
std::vector<BuildSpec> require_builds(const Experiment& experiment, const std::vector<std::string>& names) {
  if (names.empty()) return {require_build(experiment, experiment.builds.front().name)};
  std::vector<BuildSpec> builds;
  builds.reserve(names.size());
  for (const auto& name : names) builds.push_back(require_build(experiment, name));
  return builds;
}

void write_file(const std::string& path, const std::string& text) {
  std::ofstream out(path);
  if (!(out << text)) throw std::runtime_error("cannot write " + path);
}

// The runs of one command: runs experiments and collects their reports.
class Session {
 public:
  explicit Session(const CommandOptions& options) : options_(options) {}

  [[nodiscard]] bool stopped() const { return options_.stop->load(); }
  [[nodiscard]] bool rules_kept() const { return rules_kept_; }
  [[nodiscard]] int exit_status() const { return rules_kept_ ? 0 : exit_rule_violated; }

  // Runs the experiment once and returns its report, without keeping it.
  Report run(const Experiment& experiment, const BuildSpec& build, std::uint64_t seed) {
    RunOptions run;
    run.folder = options_.folder + "/" + std::filesystem::path(build.name).filename().string() + "-" +
                 std::to_string(seed);
    run.pin = options_.pin;
    run.stop_requested = [this] { return stopped(); };
    bool show_progress = !options_.quiet && isatty(STDERR_FILENO) != 0;
    if (show_progress)
      run.on_progress = [&](const RunProgress& progress) {
        print_progress(experiment, build, seed, progress);
      };
    auto result = run_experiment(experiment, build, seed, run);
    if (show_progress) std::cerr << "\r\033[K";
    Report report{build.name, seed, compute_metrics(experiment, result)};
    rules_kept_ = rules_kept_ && report.metrics.verdict.kept();
    return report;
  }

  // Runs the experiment, prints the metrics, and keeps the report for write_reports().
  const Report& run_and_print(const Experiment& experiment, const BuildSpec& build, std::uint64_t seed) {
    reports_.push_back(run(experiment, build, seed));
    std::cout << text_report(experiment, reports_.back()) << std::flush;
    return reports_.back();
  }

  // Writes `base`.json and `base`.html.
  void write_reports(const Experiment& experiment, const std::string& base) const {
    write_file(base + ".json", json_report(experiment, reports_));
    write_file(base + ".html", html_report(experiment, reports_));
  }

 private:
  static void print_progress(const Experiment& experiment, const BuildSpec& build, std::uint64_t seed,
                             const RunProgress& progress) {
    std::cerr << "\r" << experiment.name << " " << build.name << " seed " << seed << ": "
              << static_cast<long>(std::max(0.0, progress.at_ms) / 1000) << " of " << experiment.seconds
              << " s, sent " << progress.sent << ", answered " << progress.answered << ", succeeded "
              << progress.succeeded << "   " << std::flush;
  }

  const CommandOptions& options_;
  bool rules_kept_ = true;
  std::vector<Report> reports_;
};

// Sets the swept parameter of an experiment. Throws UsageError for an unknown parameter or a value below 1.
void set_parameter(Experiment& experiment, const std::string& parameter, const std::string& text) {
  double value = std::atof(text.c_str());
  if (parameter == "rate")
    experiment.traffic.rate = value;
  else if (parameter == "servers")
    experiment.tiers.front().servers = static_cast<int>(value);
  else if (parameter == "connections")
    experiment.connections = static_cast<int>(value);
  else if (parameter == "workers")
    experiment.workers = static_cast<int>(value);
  else
    throw UsageError("unknown sweep parameter " + parameter + ": rate, servers, connections or workers");
  if (!(value >= 1)) throw UsageError("sweep value of " + parameter + " must be at least 1: " + text);
}

void print_sweep_header(const std::string& parameter) {
  std::printf("%-18s %10s %9s %9s %9s %9s %9s %9s %11s %9s %9s\n", "build", parameter.c_str(), "offered/s",
              "goodput/s", "rejected%", "other%", "p50 ms", "p99 ms", "balancer us", "load us", "delay p99");
}

void print_sweep_line(const Report& report, const std::string& value, double seconds) {
  const auto& metrics = report.metrics;
  double requests = std::max<double>(1, static_cast<double>(metrics.requests));
  std::printf("%-18s %10s %9.0f %9.0f %9.2f %9.2f %9.3f %9.3f %11.1f %9.1f %9.3f%s\n", report.build.c_str(),
              value.c_str(), requests / seconds, metrics.goodput,
              100 * static_cast<double>(metrics.rejected) / requests,
              100 * static_cast<double>(metrics.failed + metrics.unserved + metrics.late) / requests,
              metrics.latency.quantile(0.5), metrics.latency.quantile(0.99), metrics.balancer_cpu_us,
              metrics.load_generator_cpu_us, metrics.send_delay_p99_ms,
              metrics.verdict.kept() ? "" : "  rule violated");
  std::fflush(stdout);
}

}  // namespace

int run_command(const Experiment& experiment, const std::vector<std::string>& build_names,
                const CommandOptions& options) {
  auto builds = require_builds(experiment, build_names);
  Session session(options);
  for (int round = 0; round < experiment.repetitions; ++round)
    for (auto seed : options.seeds)
      for (const auto& build : builds)
        if (!session.stopped()) session.run_and_print(experiment, build, seed);
  auto base = options.folder + "/" + experiment.name;
  session.write_reports(experiment, base);
  std::cout << "reports: " << base << ".json, " << base << ".html\n";
  return session.stopped() ? exit_stopped : session.exit_status();
}

int compare_command(const Experiment& experiment, const std::string& build_a, const std::string& build_b,
                    const CommandOptions& options) {
  auto a = require_build(experiment, build_a);
  auto b = require_build(experiment, build_b);
  std::vector<RunMetrics> metrics_a;
  std::vector<RunMetrics> metrics_b;
  Session session(options);
  for (int round = 0; round < experiment.repetitions; ++round)
    for (std::size_t i = 0; i < options.seeds.size(); ++i) {
      // Alternates which build of a pair runs first, so that a drift in the machine's speed favours neither.
      bool b_first = (i + static_cast<std::size_t>(round)) % 2 == 1;
      for (bool runs_b : {b_first, !b_first}) {
        if (session.stopped()) return exit_stopped;
        const auto& report = session.run_and_print(experiment, runs_b ? b : a, options.seeds[i]);
        (runs_b ? metrics_b : metrics_a).push_back(report.metrics);
      }
    }
  std::cout << difference_table(build_a, build_b, differences(metrics_a, metrics_b));
  session.write_reports(experiment, options.folder + "/" + experiment.name + "-compare");
  return session.exit_status();
}

int sweep_command(const Experiment& experiment, const std::string& parameter,
                  const std::vector<std::string>& values, const std::vector<std::string>& build_names,
                  const CommandOptions& options) {
  auto builds = require_builds(experiment, build_names);
  print_sweep_header(parameter);
  Session session(options);
  for (const auto& value : values) {
    auto changed = experiment;
    set_parameter(changed, parameter, value);
    for (auto seed : options.seeds)
      for (const auto& build : builds) {
        if (session.stopped()) return exit_stopped;
        print_sweep_line(session.run(changed, build, seed), value, changed.seconds);
      }
  }
  return session.exit_status();
}

}  // namespace meadowgauge::testbed
