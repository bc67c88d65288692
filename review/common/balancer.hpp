// Starts one balancer with the settings of a case.
#pragma once

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>

#include "processes.hpp"

namespace review {

inline std::string read_file(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Whether the case plays its disruption: not with TROUBLE=0.
inline bool has_trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

// What the platform tells a balancer.
struct BalancerConfig {
  std::string name = "b0";
  Address listen;
  Address discovery;
  std::string settings;  // JSON
  std::string known;     // JSON: the list as last known
  int memory_mb = 128;
};

inline void write_config(const BalancerConfig& config, const std::string& path) {
  std::ofstream(path) << R"({"name":")" << config.name << R"(","listen":")" << config.listen.text()
                      << R"(","discovery":")" << config.discovery.text()
                      << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)"
                      << config.memory_mb << R"(,"sockets":1024},"known":)" << config.known
                      << R"(,"settings":)" << config.settings << "}\n";
}

// Starts the program of the deploy file. `folder` takes the configuration, the log and the program's files.
// The process ends with the thread that started it, so this is called by the main thread.
inline std::unique_ptr<BalancerProcess> start_balancer(const std::string& root, const BalancerConfig& config,
                                                       const std::string& folder) {
  auto path = folder + "/" + config.name + ".json";
  write_config(config, path);
  return std::make_unique<BalancerProcess>(
      root,
      BalancerProcess::Variables{{"GW_NAME", config.name},
                                 {"GW_LISTEN", config.listen.text()},
                                 {"GW_DISCOVERY", config.discovery.text()},
                                 {"GW_CONFIG", path},
                                 {"TMPDIR", folder}},
      folder + "/" + config.name + ".log");
}

}  // namespace review
