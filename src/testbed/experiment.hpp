// The contents of an experiment file: tiers, balancers, traffic, timed faults and seeds.
// experiment_reader.cpp maps the keys of the file to these names. Times are milliseconds; at_ms and until_ms
// count from the start of the run.
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

// A kind of server in a tier.
struct ServerKindSpec {
  std::string name;
  double share = 1, speed = 1;  // share of the tier's servers, relative to other kinds; service rate factor
};

// A tier of servers and the balancers in front of them.
struct TierSpec {
  std::string name = "front";
  int servers = 5;
  int balancers = 1;
  std::vector<std::string> zones{"here"};
  std::vector<ServerKindSpec> kinds;
  ServerModelSpec server;
  int block = 0;                       // servers per block; 0: no blocks
  double idle_ms = 30000;              // idle timeout of a server's connections
  double notification_delay_ms = 200;  // of discovery; drawn between this value and twice this value
  std::vector<std::string> load_report_columns;  // sent in responses
  bool relays = false;                           // a relay in front of each server injects connection faults
};

// A fault that the testbed causes at a given time of the run.
struct FaultSpec {
  enum class Kind : std::uint8_t {
    kill,              // stops servers, and restarts them with a slow start after `for_ms`
    rolling_restart,   // drains, stops and replaces servers, `at_once` at a time, over `for_ms`
    drain,             // announces servers as draining for `for_ms`
    slow,              // multiplies service times by `times`
    fail,              // fails a `share` of the requests immediately
    silent,            // servers accept requests and never respond
    stall,             // servers pause all work until the end of the fault
    discovery,         // discovery sends nothing
    mark,              // injects nothing: marks a period of the run, after which recovery is measured
    kill_balancer,     // SIGKILL, started again after `for_ms`
    restart_balancer,  // SIGTERM, started again once it has exited
    pause_balancer,    // SIGSTOP for `for_ms`
    reload_balancer    // SIGHUP with a file that lists `members`
  };
  Kind kind = Kind::kill;
  double at_ms = 0, for_ms = 0;
  int tier = 0;
  std::vector<int> targets;  // indices of servers or balancers
  double drawn_share = 0;    // without `targets`: the share of servers or balancers drawn at random
  std::vector<int> members;  // of reload_balancer: the fleet's new members
  double times = 3, share = 0.9;
  int at_once = 1;
  double drain_ms = 1000;  // of a rolling restart: from the notification until the server rejects requests
  double down_ms = 500;    // of a rolling restart: between stop and start
  [[nodiscard]] bool targets_balancers() const { return kind >= Kind::kill_balancer; }
  // Returns the fault's name in experiment files and reports.
  [[nodiscard]] std::string text() const;
};

// The balancers of the first tier as one fleet, each configured by a file (--config) instead of environment
// variables.
struct FleetSpec {
  double lease_ms = 1000, gossip_interval_ms = 200;
  int fanout = 4;
  std::vector<double> parts;  // each balancer's share of the limits; empty: equal shares
  std::vector<int> members;   // balancers listed at the start; empty: all
  std::vector<FleetLimit> limits;
  bool verdicts = false;  // balancers share their outlier verdicts
};

// A balancer program under test, with its settings.
struct BuildSpec {
  std::string name;
  std::string program;  // empty: clients connect to the servers directly
  std::vector<std::string> args;
  std::vector<std::pair<std::string, std::string>> settings;  // overridden settings: path and value
  bool verdicts = true;                                       // false: disables the fleet's outlier verdicts
  bool fleet = true;                                          // false: the same configuration without [fleet]
};

// The [limits] table of the balancers' configuration.
struct BalancerLimitsSpec {
  int max_attempts = 3, memory_mb = 192, sockets = 1024;
  bool second_copies = false, cancelling = true, probes = false;
  double retry_after_ms = 0;
};

// An experiment as read from its file.
struct Experiment {
  std::string file, name, about;  // `file`: path; `about`: a description for reports
  double seconds = 20;
  std::vector<std::uint64_t> seeds{1};
  int repetitions = 1;
  double recovered_share = 0.05, recovered_tail = 0.25;  // relative tolerances: success share, tail latency
  std::vector<TierSpec> tiers;
  std::vector<RequestClassSpec> request_classes;
  std::vector<TenantSpec> tenants;
  TrafficSpec traffic;
  RetrySpec retries;
  int connections = 0;                  // persistent client connections; 0: opened on demand
  bool connection_per_request = false;  // lets the front balancer distribute requests evenly
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

  // Reads and validates a file. Throws settings::BadFile, which names file, line, column and key.
  static Experiment read(const std::string& path);
  // Reads a parsed file called `name`. Appends each problem with its line and column to `problems`; the
  // returned experiment is valid only if none was appended.
  static Experiment read(const settings::Node& file, const std::string& name,
                         std::vector<settings::Problem>& problems);
  // Returns the duration of the run in ms.
  [[nodiscard]] double ms() const { return seconds * 1000; }
  // Returns the indices of the servers or balancers that fault number `fault` affects. If the fault names a
  // share, they are drawn at random, deterministically by seed.
  [[nodiscard]] std::vector<int> targets_of(std::size_t fault, std::uint64_t seed) const;
  // Returns the contract for the checker; it includes the fleet's limits only if `with_fleet`.
  [[nodiscard]] Contract contract(bool with_fleet = true) const;
  [[nodiscard]] int zone_of(int tier, int server) const;
};

}  // namespace meadowgauge::testbed
