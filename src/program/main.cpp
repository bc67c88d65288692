// The command line: serve, check, version.
#include <sys/resource.h>

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "program/config.hpp"
#include "program/log.hpp"
#include "program/signals.hpp"

namespace {

using namespace meadow;
using namespace meadow::program;

std::optional<std::string> variable(const char* name) {
  const char* v = std::getenv(name);
  return v ? std::optional<std::string>(v) : std::nullopt;
}

int serve(Log& log, std::optional<unsigned> leave_ms) {
  auto setup = read_config(variable, log);
  setup.leave_ms = leave_ms;
  rlimit most{};
  if (getrlimit(RLIMIT_NOFILE, &most) == 0 && most.rlim_cur != RLIM_INFINITY)
    setup.descriptors = std::min<std::size_t>(setup.descriptors, most.rlim_cur);
  transport::Loop loop;
  routing::Balancer* balancer = nullptr;
  auto reread = [&] {
    // Whatever is wrong with the file, what is in use stays.
    try {
      balancer->reload(read_config(variable, log));
    } catch (const std::exception& e) {
      log(routing::Level::error, std::string("configuration not taken over: ") + e.what());
    }
  };
  Signals signals(
      loop, [&] { balancer->wind_up(); }, reread);
  routing::Balancer serving(loop, setup, std::ref(log));
  balancer = &serving;
  log(routing::Level::info, "serves on " + serving.address().text());
  serving.run();
  log(routing::Level::info, "ended");
  return 0;
}

int check(Log& log) {
  auto setup = read_config(variable, log);
  std::cout << setup.name << ": " << setup.settings.size() << " settings, " << setup.known.hosts.size()
            << " upstreams known\n";
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("meadowgauge", "A load balancer between services.");
  options.positional_help("serve|check|version")
      .add_options()("command",
                     "serve: balance; check: read the configuration and say what is wrong; version",
                     cxxopts::value<std::string>()->default_value("serve"))(
          "log-level", "debug, info, warning or error", cxxopts::value<std::string>()->default_value("info"))(
          "leave-ms", "how long to serve on after SIGTERM (the longest client timeout, 3000 at most)",
          cxxopts::value<unsigned>())("h,help", "this text");
  options.parse_positional({"command"});
  try {
    auto given = options.parse(argc, argv);
    auto command = given["command"].as<std::string>();
    if (given.count("help")) {
      std::cout << options.help();
      return 0;
    }
    if (command == "version") {
      std::cout << "meadowgauge " MEADOWGAUGE_VERSION "\n";
      return 0;
    }
    auto level = level_of(given["log-level"].as<std::string>());
    if (!level) throw BadConfig("--log-level knows debug, info, warning and error");
    Log log(std::cerr, *level, variable("GW_NAME").value_or("-"));
    if (command == "serve") {
      std::optional<unsigned> leave_ms;
      if (given.count("leave-ms")) leave_ms = given["leave-ms"].as<unsigned>();
      return serve(log, leave_ms);
    }
    if (command == "check") return check(log);
    throw BadConfig("unknown command " + command + ": serve, check or version");
  } catch (const std::exception& e) {
    std::cerr << "meadowgauge: " << e.what() << std::endl;
    return 1;
  }
}
