// The metrics of a balancer: counters since its start, and the number of requests in flight.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "policy/policy.hpp"
#include "proxy/discovery/call_counters.hpp"
#include "transport/turn_times.hpp"

namespace meadowgauge::proxy {

// Final responses by outcome.
struct OutcomeCounters {
  std::uint64_t success = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failure = 0;
  std::array<std::uint64_t, reason_count> reasons{};  // of the requests that the policy rejected or failed

  void count(int status) {
    ++(status == 200 ? success : status == 429 || status == 503 ? rejected : failure);
  }
};

// Counters of requests. A final response is counted when its last byte is written, or when its client has
// disconnected.
struct RequestCounters {
  OutcomeCounters all;
  std::vector<OutcomeCounters> request_classes;
  std::size_t in_flight = 0;

  void count(int request_class, int status) {
    all.count(status);
    if (request_class >= 0 && static_cast<std::size_t>(request_class) < request_classes.size())
      request_classes[static_cast<std::size_t>(request_class)].count(status);
  }
};

// The values that the admin server shows.
struct Metrics {
  RequestCounters calls;
  std::vector<std::string> request_classes;  // their names, by index
  std::uint64_t attempts = 0;                // whose request was sent to its last byte
  std::size_t listed = 0;                    // listed endpoints
  std::size_t down = 0;                      // endpoints that the policy holds unavailable
  DiscoveryCallCounters discovery;
  std::uint64_t reloads = 0;
  std::uint64_t reloads_failed = 0;
  transport::TurnTimes longest_turn;  // of the event loop; its maxima may come from different turns
  std::vector<std::pair<std::string, double>> fleet{};  // name and value; empty without a fleet
};

}  // namespace meadowgauge::proxy
