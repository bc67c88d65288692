// Entry point and command line of meadowgauge. Exit status 0: success; 1: startup failed, or `check` found
// problems.
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <string>

#include "program/commands.hpp"
#include "program/config_error.hpp"
#include "program/options.hpp"

namespace {

using namespace meadowgauge::program;

cxxopts::Options build_option_parser() {
  cxxopts::Options options("meadowgauge", "A load balancer between services.");
  options.positional_help("serve|check|version")
      .add_options()("command", "serve: run the load balancer; check: validate the configuration; version",
                     cxxopts::value<std::string>()->default_value("serve"))(
          "config", "configuration file in TOML, in place of the environment variables",
          cxxopts::value<std::string>())("log-format", "text or json, one event per line",
                                         cxxopts::value<std::string>()->default_value("text"))(
          "log-level", "debug, info, warning or error", cxxopts::value<std::string>()->default_value("info"))(
          "leave-ms", "drain time after SIGTERM, in ms (default: the maximum client timeout, up to 3000)",
          cxxopts::value<unsigned>())("h,help", "print this help");
  options.parse_positional({"command"});
  return options;
}

Subcommand parse_subcommand(const std::string& name) {
  if (name == "serve") return Subcommand::serve;
  if (name == "check") return Subcommand::check;
  throw ConfigError({.reason = "unknown command " + name + ": serve, check or version", .value = name});
}

// Throws ConfigError or cxxopts::exceptions::exception.
Options parse_options(const cxxopts::ParseResult& given) {
  Options options;
  const auto command = given["command"].as<std::string>();
  // Help and version ignore all other options, even invalid ones.
  if (given.count("help") > 0) {
    options.subcommand = Subcommand::help;
    return options;
  }
  if (command == "version") {
    options.subcommand = Subcommand::version;
    return options;
  }
  const auto level_name = given["log-level"].as<std::string>();
  const auto level = parse_level(level_name);
  if (!level)
    throw ConfigError({.key = "--log-level",
                       .reason = "must be debug, info, warning or error: " + level_name,
                       .value = level_name});
  options.log_level = *level;
  const auto format_name = given["log-format"].as<std::string>();
  const auto format = parse_log_format(format_name);
  if (!format)
    throw ConfigError(
        {.key = "--log-format", .reason = "must be text or json: " + format_name, .value = format_name});
  options.log_format = *format;
  if (given.count("config") > 0) options.config_file = given["config"].as<std::string>();
  if (given.count("leave-ms") > 0) options.shutdown_delay_ms = given["leave-ms"].as<unsigned>();
  options.subcommand = parse_subcommand(command);
  return options;
}

int run(int argc, char** argv) {
  auto parser = build_option_parser();
  const auto options = parse_options(parser.parse(argc, argv));
  switch (options.subcommand) {
    case Subcommand::help:
      std::cout << parser.help();
      return 0;
    case Subcommand::version:
      std::cout << "meadowgauge " MEADOWGAUGE_VERSION "\n";
      return 0;
    case Subcommand::check:
      return check(options);
    case Subcommand::serve:
      break;
  }
  return serve(options);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "meadowgauge: " << error.what() << std::endl;
    return 1;
  }
}
