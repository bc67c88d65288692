// Open-loop traffic of a run: the send times of requests don't depend on earlier responses. Poisson arrivals
// by thinning, with ramps, bursts, tenants, request classes and zones. All draws come from one seed; no clock
// is read. Times are milliseconds from the start of the run.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testbed/model/random.hpp"

namespace meadowgauge::testbed {

// Whether a request may be sent again after an attempt that may have executed.
enum class Idempotency : std::uint8_t {
  safe,           // yes: the request has no effect
  deduplicated,   // yes, with the same idempotency key, within the scope and the window of the class
  non_idempotent  // no
};
// Which servers share one deduplication cache: all, those of a zone, or those of a block.
enum class DeduplicationScope : std::uint8_t { all, zone, block };

// A class of requests, named by its path prefix.
struct RequestClassSpec {
  std::string name;
  double share = 1;  // of the requests, relative to the other classes
  Idempotency idempotency = Idempotency::safe;
  DeduplicationScope scope = DeduplicationScope::all;
  double deduplication_window_ms = 0;
  double work_ms = 20, spread = 0.5;  // work: mean at full speed; spread: coefficient of variation
  double latency_objective_ms = 500, timeout_ms = 3000;
  double priority_weight = 1;
  int request_body_bytes = 200;  // safe requests have no body
  int response_body_bytes = 400;
  int downstream_calls = 0;      // sequential calls to the next tier, of class `downstream_class`
  std::string downstream_class;  // name
};

// A tenant, by name, with its share of the traffic.
struct TenantSpec {
  std::string name;
  double share = 1;
  double quota = 0;  // requests a second, written into the balancers' configuration; 0: no quota
};

// A time range with a changed rate. The factor of the rate goes linearly from `from` at the phase's start to
// `to` at its end.
struct PhaseSpec {
  double at_ms = 0, until_ms = 0;
  double from = 1, to = 1;
  std::string tenant;  // empty: all
};

// New zone shares of the clients from `at_ms` on.
struct ZoneChangeSpec {
  double at_ms = 0;
  std::vector<double> zones{};  // shares
};

// The traffic of a run.
struct TrafficSpec {
  double rate = 100;    // requests a second, all tenants together
  bool poisson = true;  // otherwise evenly spaced
  std::vector<PhaseSpec> phases{};
  std::vector<double> zones{};  // shares; empty: one zone
  std::vector<ZoneChangeSpec> zone_changes{};
};

// One generated request. Request class, tenant and zone are indices into the spec's lists.
struct Arrival {
  double at_ms = 0;
  std::uint64_t number = 0;
  int request_class = 0, tenant = 0, zone = 0;
};

// Generates arrivals in order of time.
class Traffic {
 public:
  // Generates worker number `worker`'s part of the traffic (from 0). All `workers` together generate the
  // complete traffic; their request numbers interleave, so that each number is used once.
  Traffic(TrafficSpec spec, std::vector<RequestClassSpec> request_classes, std::vector<TenantSpec> tenants,
          std::uint64_t seed, int worker = 0, int workers = 1);
  // Returns the next arrival.
  Arrival next();
  // Returns the scheduled rate of a tenant at that time, in requests a second over all workers.
  [[nodiscard]] double rate(int tenant, double at_ms) const;

 private:
  // Draws tenant, class and zone of the arrival at `at_ms_`. The order of draws is fixed: another order would
  // change the traffic of every seed.
  Arrival draw_arrival(double total_rate);
  [[nodiscard]] const std::vector<double>& zone_shares(double at_ms) const;

  TrafficSpec spec_;
  std::vector<RequestClassSpec> request_classes_;
  std::vector<TenantSpec> tenants_;
  Rng rng_;
  double worker_share_, peak_rate_ = 0, at_ms_ = 0;
  std::uint64_t next_number_, number_step_;
  std::vector<double> tenant_rates_;
};

}  // namespace meadowgauge::testbed
