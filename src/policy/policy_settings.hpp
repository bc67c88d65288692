// The settings of the decision module as typed values. They hold no decisions.
#pragma once

#include <string>
#include <vector>

#include "policy/policy_event.hpp"
#include "policy/types.hpp"

namespace meadowgauge {

// What running a request twice does.
enum class Idempotency : std::uint8_t {
  idempotent,     // nothing
  deduplicated,   // nothing, within a group of servers and while they remember the request's idempotency key
  non_idempotent  // another effect
};

// Which servers share the idempotency keys that they remember.
enum class DeduplicationGroup : std::uint8_t { all, zone, cell };

struct RequestClassSettings {
  Idempotency idempotency = Idempotency::non_idempotent;
  DeduplicationGroup group = DeduplicationGroup::cell;
  double key_ttl_ms = 0;  // how long servers remember an idempotency key
  double target_ms = 1000;
  double priority_weight = 1;

  // Whether another attempt may follow an earlier one although that may have run.
  [[nodiscard]] bool repeatable() const { return idempotency != Idempotency::non_idempotent; }
};

struct TenantSettings {
  double share = 1;
  double quota_rps = 0;  // of all balancers; 0: none
};

struct PolicySettings {
  std::vector<RequestClassSettings> request_classes;  // at least one
  std::vector<TenantSettings> tenants;

  // This balancer's place in its tier.
  double replicas = 1;  // balancers of the tier, this one included
  int own_number = 0;
  int zone = 0;
  double zone_count = 1;
  double stage = 0, stage_count = 1;

  int max_attempts = 1;
  bool hedging_enabled = false;   // a request may have two attempts in flight
  bool can_cancel = false;        // attempts can be cancelled
  double max_retry_after_ms = 0;  // 0: rejections have no Retry-After
  double wire_tick_ms = 5;        // resolution with which the caller sends and acts

  // Columns of load reports; -1: there is none.
  int utilization_column = -1;  // with responses
  int depth_column = -1;        // the same: requests waiting at the endpoint
  int probe_column = -1;        // with probes: requests held by the endpoint

  double initial_capacity_fraction = 0.2;  // share of its capacity that an endpoint has at its start
  double slow_start_ms = 20000;
  double overload_factor = 2;
  double overload_window_ms = 1500;

  bool weighted = false;       // the list's weights are used
  double cross_zone_cost = 0;  // priority weight lost by a request that crosses zones; 0: none
  bool peer_messages = false;  // balancers may send each other gossip
  bool key_affinity = false;   // endpoints cache by key
  bool subscribes = false;     // the endpoint list has to be subscribed to
  double ask_within_ms = 10000;
};

// A value that is not a number takes its default and adds an InvalidSetting event.
PolicySettings read_policy_settings(const Settings& settings, std::vector<PolicyEvent>& events);

}  // namespace meadowgauge
