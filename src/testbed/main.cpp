// meadowgauge-testbed: runs experiments with real balancers on loopback sockets, compares builds, and relays
// connections with injected faults.
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>

#include "testbed/commands.hpp"
#include "testbed/fault_relay.hpp"

namespace {

using namespace meadowgauge;
using namespace meadowgauge::testbed;

constexpr int exit_usage = 2;
constexpr const char* visible_options = "";  // the unnamed option group, without `deprecated`
constexpr int max_servers = 5000;
constexpr int max_connections = 100000;

std::atomic<bool> stop_requested{false};
void on_stop_signal(int) { stop_requested = true; }

using Arguments = cxxopts::ParseResult;
using Words = std::vector<std::string>;

bool is_given(const Arguments& arguments, const char* option) { return arguments.count(option) > 0; }

cxxopts::Options command_line_options() {
  cxxopts::Options options(
      "meadowgauge-testbed",
      "Runs experiments on loopback: stand-in servers and clients, real balancers, injected faults.");
  options.positional_help(
      "run FILE [BUILD...] | compare FILE A B | sweep FILE PARAMETER VALUES [BUILD...] | check FILE | fault");
  auto add = options.add_options();
  add("command", "", cxxopts::value<std::string>());
  add("rest", "", cxxopts::value<Words>());
  add("out", "folder for reports and logs", cxxopts::value<std::string>()->default_value("testbed-out"));
  add("seeds", "overrides the file's seeds, separated by commas",
      cxxopts::value<std::vector<std::uint64_t>>());
  add("seconds", "overrides the file's duration of the run, in seconds", cxxopts::value<double>());
  add("rate", "overrides the file's requests per second", cxxopts::value<double>());
  add("servers", "overrides the file's number of servers of the first tier", cxxopts::value<int>());
  add("connections", "overrides the file's number of persistent client connections", cxxopts::value<int>());
  add("pin", "pins the servers, each load worker and each balancer to a core of its own");
  add("quiet", "hides the progress line");
  add("listen", "fault: the address to listen on", cxxopts::value<std::string>());
  add("to", "fault: the address to connect to", cxxopts::value<std::string>());
  add("control", "fault: the loopback address of the command socket", cxxopts::value<std::string>());
  add("fault", "fault: a fault to inject; may be repeated", cxxopts::value<Words>());
  add("fault-file", "fault: an experiment file whose injected faults are used",
      cxxopts::value<std::string>());
  add("seed", "fault: the seed for random choices", cxxopts::value<std::uint64_t>()->default_value("1"));
  add("h,help", "prints this help");
  // Option names of the previous release, accepted until the next release.
  auto add_deprecated = options.add_options("deprecated");
  add_deprecated("strike", "the same as --fault", cxxopts::value<Words>());
  add_deprecated("plan", "the same as --fault-file", cxxopts::value<std::string>());
  options.parse_positional({"command", "rest"});
  return options;
}

// Raises the limit of open files to its maximum, because each connection uses a descriptor at both ends.
void raise_descriptor_limit() {
  rlimit descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0) return;
  descriptors.rlim_cur = descriptors.rlim_max;
  setrlimit(RLIMIT_NOFILE, &descriptors);
}

void append(Words& all, const Words& more) { all.insert(all.end(), more.begin(), more.end()); }

// Returns the fault injections of an experiment file.
Words faults_in_file(const std::string& path) {
  Words faults;
  for (const auto& injection : Experiment::read(path).injections) faults.push_back(injection.text());
  return faults;
}

int fault_command(const Arguments& arguments) {
  if (!is_given(arguments, "listen") || !is_given(arguments, "to"))
    throw UsageError("fault needs --listen and --to");
  FaultRelayOptions options;
  options.listen = arguments["listen"].as<std::string>();
  options.to = arguments["to"].as<std::string>();
  if (is_given(arguments, "control")) options.control = arguments["control"].as<std::string>();
  for (const char* option : {"fault", "strike"})
    if (is_given(arguments, option)) append(options.injections, arguments[option].as<Words>());
  for (const char* option : {"fault-file", "plan"})
    if (is_given(arguments, option))
      append(options.injections, faults_in_file(arguments[option].as<std::string>()));
  options.seed = arguments["seed"].as<std::uint64_t>();
  return run_fault_relay(options, std::cout, stop_requested);
}

int check_command(const std::string& file, const Experiment& experiment) {
  std::cout << file << ": " << experiment.tiers.size() << " tiers, " << experiment.faults.size()
            << " faults, " << experiment.injections.size() << " injected faults, " << experiment.builds.size()
            << " builds, " << experiment.seeds.size() << " seeds\n";
  return 0;
}

// Applies the command line options that override the experiment file.
void override_experiment(Experiment& experiment, const Arguments& arguments) {
  if (is_given(arguments, "seconds")) experiment.seconds = arguments["seconds"].as<double>();
  if (is_given(arguments, "rate")) experiment.traffic.rate = arguments["rate"].as<double>();
  if (is_given(arguments, "servers"))
    experiment.tiers.front().servers = std::clamp(arguments["servers"].as<int>(), 1, max_servers);
  if (is_given(arguments, "connections"))
    experiment.connections = std::clamp(arguments["connections"].as<int>(), 0, max_connections);
}

CommandOptions command_options(const Arguments& arguments, const Experiment& experiment) {
  CommandOptions options{.folder = arguments["out"].as<std::string>(),
                         .pin = is_given(arguments, "pin"),
                         .quiet = is_given(arguments, "quiet"),
                         .seeds = experiment.seeds,
                         .stop = &stop_requested};
  if (is_given(arguments, "seeds")) options.seeds = arguments["seeds"].as<std::vector<std::uint64_t>>();
  return options;
}

// Runs `sweep`. `words`: the parameter, then values and builds in any order; numbers are values.
int run_sweep(const Experiment& experiment, Words words, const CommandOptions& options) {
  if (words.size() < 2) throw UsageError("sweep needs a file, a parameter and at least one value");
  auto first_build = std::stable_partition(words.begin() + 1, words.end(), [](const std::string& text) {
    return text.find_first_not_of("0123456789.") == std::string::npos;
  });
  return sweep_command(experiment, words[0], {words.begin() + 1, first_build}, {first_build, words.end()},
                       options);
}

// Runs a command that takes an experiment file. `words`: the arguments after the file's name.
int experiment_command(const std::string& command, const Experiment& experiment, const Words& words,
                       const CommandOptions& options) {
  if (command == "run") return run_command(experiment, words, options);
  if (command == "sweep") return run_sweep(experiment, words, options);
  if (command != "compare")
    throw UsageError("unknown command " + command + ": run, compare, sweep, check or fault");
  if (words.size() != 2) throw UsageError("compare needs a file and two builds");
  return compare_command(experiment, words[0], words[1], options);
}

int run_program(int argc, char** argv) {
  auto options = command_line_options();
  auto arguments = options.parse(argc, argv);
  if (is_given(arguments, "help") || !is_given(arguments, "command")) {
    std::cout << options.help({visible_options});
    return is_given(arguments, "help") ? 0 : exit_usage;
  }
  signal(SIGPIPE, SIG_IGN);
  raise_descriptor_limit();
  auto command = arguments["command"].as<std::string>();
  if (command == "fault") return fault_command(arguments);
  auto words = is_given(arguments, "rest") ? arguments["rest"].as<Words>() : Words{};
  if (words.empty()) throw UsageError(command + " needs an experiment file");
  auto file = words.front();
  words.erase(words.begin());
  auto experiment = Experiment::read(file);
  if (command == "check") return check_command(file, experiment);
  override_experiment(experiment, arguments);
  auto run_options = command_options(arguments, experiment);
  std::filesystem::create_directories(run_options.folder);
  return experiment_command(command, experiment, words, run_options);
}

void handle_stop_signals() {
  struct sigaction action {};
  action.sa_handler = on_stop_signal;
  sigaction(SIGINT, &action, nullptr);
  sigaction(SIGTERM, &action, nullptr);
}

}  // namespace

int main(int argc, char** argv) {
  handle_stop_signals();
  try {
    return run_program(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "meadowgauge-testbed: " << e.what() << std::endl;
    return 1;
  }
}
