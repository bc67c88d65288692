// The settings that the decision module uses, read into typed values. They hold no decisions.
#pragma once

#include <string>
#include <vector>

#include "policy/policy_event.hpp"
#include "policy/types.hpp"

namespace meadowgauge {

// What a second run of a request does.
enum class Idempotency : std::uint8_t {
  idempotent,     // no harm
  deduplicated,   // no harm within a group of servers, for as long as they remember the request's key
  non_idempotent  // harm
};

// Which servers share what they remember of deduplicated requests.
enum class DeduplicationGroup : std::uint8_t { all, zone, cell };

struct RequestClassSettings {
  Idempotency idempotency = Idempotency::non_idempotent;
  DeduplicationGroup group = DeduplicationGroup::cell;
  double key_ttl_ms = 0;  // how long a deduplicated request is remembered
  double target_ms = 1000;
  double priority_weight = 1;

  // Whether a second run may do no harm.
  [[nodiscard]] bool repeatable() const { return idempotency != Idempotency::non_idempotent; }
};

struct TenantSettings {
  double share = 1;
  double quota_rps = 0;  // of all balancers; 0: none
};

struct PolicySettings {
  std::vector<RequestClassSettings> request_classes;  // at least one
  std::vector<TenantSettings> tenants;

  // This balancer's place.
  double replicas = 1;  // balancers of its kind
  int own_number = 0;
  int zone = 0;
  double zone_count = 1;
  double stage = 0, stage_count = 1;

  int max_attempts = 1;
  bool hedging_enabled = false;   // a request may be in flight twice
  bool can_cancel = false;        // attempts can be cancelled
  double max_retry_after_ms = 0;  // 0: clients are not told when to come back
  double wire_tick_ms = 5;        // what is sent leaves up to this later

  // Columns of load reports; -1: there is none.
  int utilization_column = -1;  // with responses
  int depth_column = -1;        // the same: requests waiting at the endpoint
  int probe_column = -1;        // with probes: requests held by the endpoint

  double initial_capacity_fraction = 0.2;  // of its full work that a cold server bears
  double slow_start_ms = 20000;
  double overload_factor = 2;
  double overload_window_ms = 1500;

  bool weighted = false;       // listed weights count
  double cross_zone_cost = 0;  // 0: crossing is free
  bool peer_messages = false;  // balancers may gossip
  bool key_affinity = false;   // servers do a key that they met of late for less
  bool subscribes = false;     // the endpoint list has to be asked for
  double ask_within_ms = 10000;
};

// A value that is not a number takes its default and adds an InvalidSetting event.
PolicySettings read_policy_settings(const Settings& settings, std::vector<PolicyEvent>& events);

}  // namespace meadowgauge
