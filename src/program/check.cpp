// The subcommand `check`. Operators' scripts parse its output, so the format is stable.
#include <algorithm>
#include <iostream>
#include <utility>
#include <vector>

#include "program/commands.hpp"
#include "program/configuration.hpp"
#include "program/log.hpp"
#include "program/operator_file.hpp"

namespace meadowgauge::program {

namespace {

int check_platform_config(const Options& options) {
  const Log log(std::cerr, options.log_level, options.log_format,
                environment_variable("GW_NAME").value_or(unknown_name));
  const auto setup = read_configuration(options, log.logger());
  std::cout << setup.name << ": " << setup.settings.size() << " settings, " << setup.known.hosts.size()
            << " upstreams known\n";
  return 0;
}

// Prints all problems to standard error, by line and column.
void print_problems(const std::string& file, std::vector<settings::Problem> problems) {
  std::stable_sort(problems.begin(), problems.end(), [](const auto& a, const auto& b) {
    return std::pair(a.line, a.column) < std::pair(b.line, b.column);
  });
  for (const auto& problem : problems) std::cerr << settings::format_problem(file, problem) << '\n';
}

int check_operator_file(const std::string& file) {
  constexpr std::uint64_t any_seed = 1;
  std::vector<settings::Problem> problems;
  const auto setup = read_operator_file(settings::read_file(file), any_seed, problems);
  if (!problems.empty()) {
    print_problems(file, std::move(problems));
    return 1;
  }
  const auto servers = setup.discovery ? "discovery at " + setup.discovery->text()
                                       : std::to_string(setup.known.hosts.size()) + " servers listed";
  std::cout << file << ": " << setup.name << " is to listen on " << setup.listen.text() << ", " << servers
            << '\n';
  if (!setup.fleet) return 0;
  for (const auto& line : setup.fleet->describe_bounds()) std::cout << line << '\n';
  return 0;
}

}  // namespace

int check(const Options& options) {
  return options.config_file.empty() ? check_platform_config(options)
                                     : check_operator_file(options.config_file);
}

}  // namespace meadowgauge::program
