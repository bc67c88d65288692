// Counters of a balancer's calls to discovery since the start of the process, and the times until the first
// call and the first list.
#pragma once

#include <cstdint>
#include <optional>

#include "proxy/discovery/error.hpp"

namespace meadowgauge::proxy {

// Reported in the metrics and in the log line of the first list.
struct DiscoveryCallCounters {
  std::uint64_t calls = 0;      // calls for the complete list or a watch
  std::uint64_t lists = 0;      // lists received, complete or as changes
  std::uint64_t refused = 0;    // calls answered with a status other than 200
  std::uint64_t timed_out = 0;  // calls and watches that received no line in time
  std::uint64_t failed = 0;     // calls and watches that failed for another reason
  // Time from the start of the process; absent until the first call or list.
  std::optional<double> first_call_after_ms;
  std::optional<double> first_list_after_ms;

  // Counts a failed call by the kind of its error.
  void count(DiscoveryError error) {
    if (error == DiscoveryError::unexpected_status)
      ++refused;
    else if (error == DiscoveryError::watch_timed_out)
      ++timed_out;
    else
      ++failed;
  }
};

}  // namespace meadowgauge::proxy
