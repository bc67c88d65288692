// Rate limits that the instances of a fleet enforce together, as configured.
#pragma once

#include <string>
#include <vector>

namespace meadowgauge::fleet {

// Special values of a limit's tenant or request class, in place of an index.
inline constexpr int match_none = -3;    // matches no request: the file does not define the name
inline constexpr int match_any = -2;     // matches every name; all are counted together
inline constexpr int match_others = -1;  // matches names that are not in the file; all are counted together

// A fleet-wide rate limit on the requests of a tenant, of a request class, or of both.
struct Limit {
  std::string name;                  // `tenant/request class`; identifies the limit over reloads
  int tenant = match_any;            // index in the file that the process started with, or match_*
  int request_class = match_any;     // the same for request classes
  double rate = 0;                   // requests a second over the whole fleet
  double burst = 0;                  // requests
  std::string tenant_name{};         // empty: any
  std::string request_class_name{};  // empty: any
};

// The limits that all instances of a fleet must agree on, and this instance's share of each.
struct LimitTerms {
  std::vector<Limit> limits;
  double lease_ms = 1000;
  int instances = 1;
  double share = 1;  // of each limit, 0 to 1; the shares of all instances add up to 1
};

// A lender counts a lease for longer than its borrower uses it, by this ratio, to allow for clock drift.
inline constexpr double lease_drift_ratio = 0.01;  // of lease_ms
// The share of the burst that is split evenly over the instances. The rest is split by available rate.
inline constexpr double fixed_burst_share = 0.5;  // 0 to 1
// The share of its own rate that an instance never lends, so that its bucket refills without borrowing.
inline constexpr double reserved_share = 0.02;  // 0 to 1

}  // namespace meadowgauge::fleet
