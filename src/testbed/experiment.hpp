// An experiment file as plain values: tiers, balancers, traffic, timed faults, seeds. experiment_reader.cpp
// maps the keys of the file to these names. Times are milliseconds; at_ms and until_ms count from the begin
// of the run.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "settings/tree.hpp"
#include "testbed/checker.hpp"
#include "testbed/model/datagram_fault.hpp"
#include "testbed/model/fault_injection.hpp"
#include "testbed/model/retry_policy.hpp"
#include "testbed/model/server_model.hpp"
#include "testbed/model/traffic.hpp"

namespace meadowgauge::testbed {

struct ServerKindSpec {
  std::string name;
  double share = 1, speed = 1;
};

struct TierSpec {
  std::string name = "front";
  int servers = 5;
  int balancers = 1;
  std::vector<std::string> zones{"here"};
  std::vector<ServerKindSpec> kinds;
  ServerModelSpec server;
  int block = 0;                                 // servers per block; 0: no blocks
  double idle_ms = 30000;                        // idle timeout of a server's connections
  double notification_delay_ms = 200;            // of discovery; drawn from this value to twice of it
  std::vector<std::string> load_report_columns;  // in responses
  bool relays = false;                           // a relay before each server, for faults between sockets
};

struct FaultSpec {
  enum class Kind : std::uint8_t {
    kill,              // servers stop, and restart with a slow start after `for_ms`
    rolling_restart,   // servers are drained, stopped and replaced, `at_once` at a time, over `for_ms`
    drain,             // servers are announced as draining, for `for_ms`
    slow,              // multiplies service times by `times`
    fail,              // fails a `share` of requests at once
    silent,            // servers accept requests and never respond
    stall,             // servers pause all work until the end of the fault
    discovery,         // discovery is silent
    mark,              // nothing breaks: a stretch of the run from whose end recovery is counted
    kill_balancer,     // SIGKILL, started again after `for_ms`
    restart_balancer,  // SIGTERM, started again once it has exited
    pause_balancer,    // SIGSTOP for `for_ms`
    reload_balancer    // SIGHUP with a file that lists `members`
  };
  Kind kind = Kind::kill;
  double at_ms = 0, for_ms = 0;
  int tier = 0;
  std::vector<int> targets;  // servers or balancers
  double drawn_share = 0;    // without `targets`: draws this share of all
  std::vector<int> members;  // of the fleet, after a reload
  double times = 3, share = 0.9;
  int at_once = 1;
  double drain_ms = 1000;  // of a rolling restart: from the notification until the server rejects requests
  double down_ms = 500;    // of a rolling restart: between stop and start
  [[nodiscard]] bool targets_balancers() const { return kind >= Kind::kill_balancer; }
  // The fault's name in experiment files and reports.
  [[nodiscard]] std::string text() const;
};

// The first tier's balancers as one fleet, configured by operators' files instead of environment variables.
struct FleetSpec {
  double lease_ms = 1000, gossip_interval_ms = 200;
  int fanout = 4;
  std::vector<double> parts;  // shares of the limits by balancer; empty: equal
  std::vector<int> members;   // at the start; empty: all
  std::vector<FleetLimit> limits;
  bool verdicts = false;  // outlier verdicts are shared
};

// A program under test, with its settings.
struct BuildSpec {
  std::string name;
  std::string program;  // empty: clients connect to the servers directly
  std::vector<std::string> args;
  std::vector<std::pair<std::string, std::string>> settings;  // overrides: path and value
  bool verdicts = true;                                       // false: disables the fleet's outlier verdicts
  bool fleet = true;                                          // false: the same files without [fleet]
};

// Limits in the balancers' configuration.
struct BalancerLimitsSpec {
  int max_attempts = 3, memory_mb = 192, sockets = 1024;
  bool second_copies = false, cancelling = true, probes = false;
  double retry_after_ms = 0;
};

struct Experiment {
  std::string file, name, about;
  double seconds = 20;
  std::vector<std::uint64_t> seeds{1};
  int repetitions = 1;
  double recovered_share = 0.05, recovered_tail = 0.25;  // relative tolerances for recovery
  std::vector<TierSpec> tiers;
  std::vector<RequestClassSpec> request_classes;
  std::vector<TenantSpec> tenants;
  TrafficSpec traffic;
  RetrySpec retries;
  int connections = 0;                  // persistent client connections; 0: opened on demand
  bool connection_per_request = false;  // so that the front balancer spreads requests evenly
  int max_connections = 20000;
  int workers = 1;  // threads of the load generator
  double front_detection_delay_ms = 1500;
  double drain_grace_ms = 400;
  BalancerLimitsSpec limits;
  std::vector<BuildSpec> builds;
  std::vector<FaultSpec> faults;
  std::vector<FaultInjection> injections;
  std::optional<FleetSpec> fleet;
  std::vector<DatagramFault> datagram_faults;

  // Reads a file. Throws settings::BadFile, which names file, line, column and key, before anything is
  // started.
  static Experiment read(const std::string& path);
  // Reads a parsed file called `name`. Appends each problem with its line and column to `problems`; the
  // experiment is valid only if there are none.
  static Experiment read(const settings::Node& file, const std::string& name,
                         std::vector<settings::Problem>& problems);
  [[nodiscard]] double ms() const { return seconds * 1000; }
  // Returns the servers or balancers that a fault affects, drawn from the seed if the fault states a share.
  [[nodiscard]] std::vector<int> targets_of(std::size_t fault, std::uint64_t seed) const;
  // Returns the checker's contract, without the fleet's limits unless `with_fleet`.
  [[nodiscard]] Contract contract(bool with_fleet = true) const;
  [[nodiscard]] int zone_of(int tier, int server) const;
};

}  // namespace meadowgauge::testbed
