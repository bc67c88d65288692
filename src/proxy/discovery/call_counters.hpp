// Counts a balancer's calls to discovery since its start, and how long it was without a list of its own.
#pragma once

#include <cstdint>
#include <optional>

#include "proxy/discovery/error.hpp"

namespace meadowgauge::proxy {

struct DiscoveryCallCounters {
  std::uint64_t calls = 0;      // for the complete list or for a watch
  std::uint64_t lists = 0;      // received, complete or as changes
  std::uint64_t refused = 0;    // calls answered with a status other than 200
  std::uint64_t timed_out = 0;  // calls and watches without a line in time
  std::uint64_t failed = 0;     // calls and watches that failed for another reason
  // From the start of the process; absent before.
  std::optional<double> first_call_after_ms;
  std::optional<double> first_list_after_ms;

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
