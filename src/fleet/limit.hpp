// Rate limits that all instances of a fleet hold together, as the operator's file states them.
#pragma once

#include <string>
#include <vector>

namespace meadowgauge::fleet {

// Special values of a limit's tenant or request class, in place of an index.
inline constexpr int match_none = -3;    // matches nothing: the file defines no such name
inline constexpr int match_any = -2;     // matches all of them, counted together
inline constexpr int match_others = -1;  // matches those that the file does not name, counted together

// A rate that the requests of a tenant, of a class, or of both share over the whole fleet.
struct Limit {
  std::string name;                  // `tenant/request class`; identifies the limit over reloads
  int tenant = match_any;            // index in the file that the process started with
  int request_class = match_any;     // likewise
  double rate = 0;                   // requests a second, of the whole fleet
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

// A lender counts a lease for longer than the borrower by this part, to allow for clock drift.
inline constexpr double lease_drift_ratio = 0.01;  // share of the lease
// The part of the burst that is split evenly over the instances; the rest follows the leased rate.
inline constexpr double fixed_burst_share = 0.5;  // share of the burst, 0 to 1
// The part of its own rate that an owner never lends, so that its bucket refills without borrowing.
inline constexpr double reserved_share = 0.02;  // share of the own rate, 0 to 1

}  // namespace meadowgauge::fleet
