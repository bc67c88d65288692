// What a balancer has done and has in flight, counted where it happens. Counts are since the start.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "policy/policy.hpp"

namespace meadowgauge::proxy {

// Final responses of a kind, by what they told the client.
struct OutcomeCounters {
  std::uint64_t success = 0, rejected = 0, failure = 0;
  std::array<std::uint64_t, reason_count> reasons{};  // of those that the policy rejected or failed

  void count(int status) {
    ++(status == 200 ? success : status == 429 || status == 503 ? rejected : failure);
  }
};

// Of final responses, each counted when its last byte is written, or its client has gone.
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

// What the admin server shows.
struct Metrics {
  RequestCounters calls;
  std::vector<std::string> request_classes;  // their names
  std::uint64_t attempts = 0;                // written whole
  std::size_t listed = 0, down = 0;
  std::uint64_t reloads = 0, reloads_failed = 0;
  std::vector<std::pair<std::string, double>> fleet{};  // where there is one
};

}  // namespace meadowgauge::proxy
