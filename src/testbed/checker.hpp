// The checker compares the history of a run with the rules that the balancers were configured to keep and
// reports the violations of each rule. It does no I/O and shares no code with the balancer under test.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "testbed/history.hpp"

namespace meadowgauge::testbed {

// A request rate limit for all balancers together: in any window of W ms they admit at most
// `rate * W / 1000 + burst` requests.
struct FleetLimit {
  std::string tenant{}, request_class{};  // names; empty: the limit covers all of them
  double rate = 0, burst = 0;             // requests a second; requests
};

// Where a server runs, which decides with which servers it shares a deduplication cache.
struct ServerPlacement {
  // Servers of one block share a deduplication cache; block -1: the server shares with none.
  int zone = 0, block = -1;
};

// The part of the balancers' configuration on which the rules depend.
struct Contract {
  std::vector<RequestClassSpec> request_classes;
  double drain_grace_ms = 400;  // requests may still reach a server this long after a drain notification
  double slack_ms = 50;         // tolerance for scheduling delays of the testbed itself
  // The maximum delay, in writing a request or in reading its response, that is attributed to the client.
  double max_client_delay_ms = 500;
  std::vector<std::vector<ServerPlacement>> servers;  // by tier and server
  std::vector<std::string> tenants{};
  std::vector<FleetLimit> limits{};
  // The maximum time between a request's admission and the arrival of its first byte at a server.
  double admission_to_server_ms = 100;
};

// The requests admitted under a fleet limit, from the servers' records. Each attempt of a client counts once,
// when its first byte reaches a server of the first tier.
struct AdmissionHistory {
  std::vector<std::pair<double, int>> events;  // time in ms and balancer, sorted by time
  double max_excess = 0;    // requests above the limit in the worst window; at most 0: the limit was kept
  double excess_at_ms = 0;  // end of the worst window
};
// Returns the admissions that count against `limit`, and the worst excess over it.
AdmissionHistory admission_history(const History& history, const Contract& contract, const FleetLimit& limit);

// The rules that the checker verifies.
enum class Rule : std::uint8_t {
  no_request_lost,
  no_duplicate_effect,
  drains_respected,
  slow_start_respected,
  no_crash,
  fleet_limits_kept
};
inline constexpr int rule_count = 6;
// Returns the rule's name, which is printed in reports and is a key of the JSON metrics.
std::string_view rule_name(Rule rule);

// One event that breaks a rule.
struct Violation {
  Rule rule;
  double at_ms = 0;
  std::string description;  // one line, with the ids of the attempt, server or balancer
};

// A response that was late only by the client's clock, because the client wrote the request or read the
// response late.
struct ClientDelay {
  std::string id;             // ID of the attempt
  double write_delay_ms = 0;  // from the clock reading that set the time budget to writing the last byte
  double read_delay_ms = 0;   // from the response's arrival in the kernel to the loop turn that read it
};

// The result of checking one run.
struct Verdict {
  std::vector<Violation> violations;              // sorted by time
  std::array<std::uint64_t, rule_count> count{};  // violations by rule
  std::uint64_t excused = 0;  // attempts lost because the experiment killed or paused their balancer
  std::vector<ClientDelay> client_delays;  // responses on time except for the client's own delay
  [[nodiscard]] bool kept() const { return violations.empty(); }
  [[nodiscard]] bool kept(Rule rule) const { return count[static_cast<int>(rule)] == 0; }
};

// Checks all rules. The run must have ended: attempts without an end count as timed out.
Verdict check_history(const History& history, const Contract& contract);

}  // namespace meadowgauge::testbed
