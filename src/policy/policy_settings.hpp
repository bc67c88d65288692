// The settings of the decision module as typed values.
#pragma once

#include <string>
#include <vector>

#include "policy/policy_event.hpp"
#include "policy/types.hpp"

namespace meadowgauge {

// The effect of running a request a second time.
enum class Idempotency : std::uint8_t {
  idempotent,     // no further effect
  deduplicated,   // no further effect within a group of servers while they remember the idempotency key
  non_idempotent  // the effect occurs again
};

// The group of servers that share the idempotency keys that they remember.
enum class DeduplicationGroup : std::uint8_t { all, zone, cell };

// Settings of one request class.
struct RequestClassSettings {
  Idempotency idempotency = Idempotency::non_idempotent;
  DeduplicationGroup group = DeduplicationGroup::cell;
  double key_ttl_ms = 0;  // how long servers remember an idempotency key
  double latency_objective_ms = 1000;
  double priority_weight = 1;

  // Returns whether another attempt may follow an attempt that may have run.
  [[nodiscard]] bool repeatable() const { return idempotency != Idempotency::non_idempotent; }
};

// Settings of one tenant.
struct TenantSettings {
  double share = 1;      // of the arriving requests, 0 to 1
  double quota_rps = 0;  // requests per second over all balancers; 0: no quota
};

// All settings of the decision module.
struct PolicySettings {
  std::vector<RequestClassSettings> request_classes;  // at least one
  std::vector<TenantSettings> tenants;

  // Position of this balancer.
  double replicas = 1;  // balancers of the tier, including this one
  int replica_index = 0;
  int zone = 0;
  double zone_count = 1;
  double stage = 0, stage_count = 1;  // tier of this balancer, 0: nearest to the clients; number of tiers

  int max_attempts = 1;
  bool hedging_enabled = false;   // a request may have two attempts in flight
  bool can_cancel = false;        // attempts in flight can be cancelled
  double max_retry_after_ms = 0;  // 0: rejections have no Retry-After
  double wire_tick_ms = 5;        // time resolution with which the caller sends and acts

  // Columns of load reports; -1: the reports do not have the column.
  int utilization_column = -1;  // in responses: utilization of the endpoint
  int depth_column = -1;        // in responses: requests waiting at the endpoint
  int probe_column = -1;        // in probes: requests held by the endpoint

  double initial_capacity_fraction = 0.2;  // share of its full capacity that an endpoint has when it starts
  double slow_start_ms = 20000;            // warm-up time of an endpoint
  // A warming endpoint is assumed to bear `overload_factor` times its current capacity over
  // `overload_window_ms`. Slow start sets its budgets by both.
  double overload_factor = 2;
  double overload_window_ms = 1500;

  bool uses_list_weights = false;      // the list's weights are used
  double cross_zone_cost = 0;          // priority weight lost by a request that crosses zones; 0: none
  bool gossip_enabled = false;         // balancers may send each other gossip
  bool key_affinity = false;           // endpoints cache data by request key
  bool uses_subscription = false;      // the endpoint list must be subscribed to
  double subscribe_within_ms = 10000;  // time within which the list must be requested, also after a failure
};

// Reads all settings. A value that is not a number takes its default and adds an InvalidSetting event.
PolicySettings read_policy_settings(const Settings& settings, std::vector<PolicyEvent>& events);

}  // namespace meadowgauge
