// Open-loop traffic of a run: the send times of requests don't depend on earlier responses. Poisson arrivals
// by thinning, with ramps, bursts, tenants, request classes and zones. All draws come from one seed, and no
// clock is read. Times are milliseconds from the begin of the run.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testbed/model/random.hpp"

namespace meadowgauge::testbed {

// Whether a request may be retried once it may have executed.
enum class Idempotency : std::uint8_t {
  safe,           // always: the request has no effect
  deduplicated,   // with its idempotency key, within the scope and the window of the class
  non_idempotent  // never
};
// The servers that share one deduplication cache.
enum class DeduplicationScope : std::uint8_t { all, zone, block };

// A class of requests, named by its path prefix.
struct RequestClassSpec {
  std::string name;
  double share = 1;  // of the requests, relative to the other classes
  Idempotency idempotency = Idempotency::safe;
  DeduplicationScope scope = DeduplicationScope::all;
  double deduplication_window_ms = 0;
  double work_ms = 20, spread = 0.5;  // mean at full speed; coefficient of variation
  double latency_objective_ms = 500, timeout_ms = 3000;
  double priority_weight = 1;
  int request_body_bytes = 200;  // unless the class is safe
  int response_body_bytes = 400;
  int downstream_calls = 0;      // to the next tier, one after another, each of the class `downstream_class`
  std::string downstream_class;  // a name
};

struct TenantSpec {
  std::string name;
  double share = 1;
  double quota = 0;  // requests a second, as the balancers are configured; 0: none
};

// The rate is multiplied by `from` at the begin of the phase, by `to` at its end, and linearly between.
struct PhaseSpec {
  double at_ms = 0, until_ms = 0;
  double from = 1, to = 1;
  std::string tenant;  // empty: all
};

// From `at_ms` on, clients are spread over the zones by these shares.
struct ZoneChangeSpec {
  double at_ms = 0;
  std::vector<double> zones{};  // shares
};

struct TrafficSpec {
  double rate = 100;    // requests a second, all tenants together
  bool poisson = true;  // otherwise evenly spaced
  std::vector<PhaseSpec> phases{};
  std::vector<double> zones{};  // shares; empty: one zone
  std::vector<ZoneChangeSpec> zone_changes{};
};

struct Arrival {
  double at_ms = 0;
  std::uint64_t number = 0;
  int request_class = 0, tenant = 0, zone = 0;  // indices
};

// Generates arrivals in order of time.
class Traffic {
 public:
  // Generates the traffic of one of `workers` workers, which together generate the complete traffic; their
  // request numbers interleave.
  Traffic(TrafficSpec spec, std::vector<RequestClassSpec> request_classes, std::vector<TenantSpec> tenants,
          std::uint64_t seed, int worker = 0, int workers = 1);
  Arrival next();
  // The scheduled rate of a tenant at that time, requests a second over all workers.
  [[nodiscard]] double rate(int tenant, double at_ms) const;

 private:
  // Draws tenant, class and zone of the arrival at `at_ms_`. Changing the order of draws changes all seeds.
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
