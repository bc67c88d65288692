// The commands of meadowgauge-testbed that run experiments. Each returns the program's exit status: 0 if all
// rules were kept, 3 if a rule was violated, 130 if a signal stopped the command.
#pragma once

#include <atomic>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "testbed/experiment.hpp"

namespace meadowgauge::testbed {

// The command line is invalid; nothing has been started.
struct UsageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Options of all commands that run experiments.
struct CommandOptions {
  std::string folder;               // for reports and logs
  bool pin = false, quiet = false;  // pins threads and processes to cores; shows no progress
  std::vector<std::uint64_t> seeds;
  const std::atomic<bool>* stop = nullptr;  // set by a signal; not null
};

// Runs each build on each seed; without names, the experiment's first build. A name is that of a build in the
// experiment, the path of a program, or `direct`. Throws UsageError for an unknown name.
int run_command(const Experiment& experiment, const std::vector<std::string>& build_names,
                const CommandOptions& options);
// Runs two builds alternately on the same seeds and prints the differences of their metrics.
int compare_command(const Experiment& experiment, const std::string& build_a, const std::string& build_b,
                    const CommandOptions& options);
// Runs the experiment with each value of `parameter` (rate, servers, connections or workers), and prints a
// line for each run.
int sweep_command(const Experiment& experiment, const std::string& parameter,
                  const std::vector<std::string>& values, const std::vector<std::string>& build_names,
                  const CommandOptions& options);

}  // namespace meadowgauge::testbed
