// The metrics of a run, computed from its history. Does no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "testbed/checker.hpp"
#include "testbed/experiment.hpp"
#include "testbed/model/histogram.hpp"
#include "testbed/runner.hpp"
#include "transport/turn_times.hpp"

namespace meadowgauge::testbed {

// A time slice of the run. Each request counts in the slice of its scheduled send time.
struct Slice {
  double at_ms = 0;  // start of the slice, from the start of the run
  std::uint64_t offered = 0, within_objective = 0, late = 0, rejected = 0, failed = 0;
  double offered_weight = 0, earned_weight = 0;  // priority weight of all requests; within objective
  Histogram latency;                             // of succeeded requests, ms
};

// Request outcomes at one balancer or server, or of one tenant or request class.
struct OutcomeRow {
  std::string name{};
  std::uint64_t received = 0, succeeded = 0, rejected = 0, failed = 0, other = 0;
  Histogram latency{};  // ms
  double cpu_ms = 0;    // processor time; of balancers only
  long peak_kb = 0;     // maximum resident set size, KiB; of balancers only
};

// How one fault affected the requests, and when they recovered.
struct Recovery {
  std::string fault;
  double from_ms = 0, until_ms = 0;             // of the fault, from the start of the run
  double share_before = 0, tail_before_ms = 0;  // share within the objective; 99th percentile of latency
  double share_during = 0;
  // Time from the fault's end until share and tail latency have recovered; empty if they do not in this run.
  std::optional<double> after_ms{};
};

// Admissions under one fleet limit, from the servers' records.
struct LimitRow {
  std::string name;
  double rate = 0, burst = 0;           // requests a second; requests
  double mean = 0;                      // requests admitted per second, after the quota leases have settled
  double max_excess = 0;                // requests above the limit in the worst window; at most 0: kept
  std::vector<double> slices;           // requests admitted per second, by slice
  std::vector<std::vector<double>> by;  // the same by balancer, then by slice
};

// All metrics of one run.
struct RunMetrics {
  std::uint64_t requests = 0, within_objective = 0, late = 0, rejected = 0, failed = 0, unserved = 0;
  double weighted_success = 0;            // priority weight of requests within the objective / offered weight
  double worst_weighted_success = 0;      // the same in the worst window of 2 s
  double attempts_per_request = 0;        // attempts of clients
  std::vector<double> attempts_per_tier;  // received completely by a tier's servers, per client request
  double goodput = 0;                     // requests within the objective per second
  Histogram latency;                      // of succeeded requests, ms
  std::vector<Slice> slices;              // each `slice_ms` long
  double slice_ms = 500;
  std::vector<OutcomeRow> balancers, servers, tenants, request_classes;
  std::vector<Recovery> recoveries;  // by fault
  double load_generator_cpu_us = 0;  // processor time of the load generator per attempt, us
  double balancer_cpu_us = 0;        // processor time of all balancers per request, us
  double send_delay_p50_ms = 0, send_delay_p99_ms = 0, send_delay_max_ms = 0;
  transport::TurnTimes load_generator_turns, servers_turns;  // the longest turns of the testbed's own loops
  std::vector<LimitRow> limits;  // of the experiment's fleet, even if the build does not enforce them
  double datagrams_per_s = 0, datagram_bytes_per_s = 0;  // that each balancer sent to others, on average
  Verdict verdict;
  bool stopped = false;
};

// Checks the run's history and computes all metrics.
RunMetrics compute_metrics(const Experiment& experiment, const RunResult& run);

}  // namespace meadowgauge::testbed
