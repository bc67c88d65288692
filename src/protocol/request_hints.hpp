// Parser of the request hints in X-Call-Info: `name=value` items, separated by commas.
#pragma once

#include <cstdint>
#include <string_view>

namespace meadowgauge::protocol {

// A client's hints for the choice of an endpoint.
struct RequestHints {
  double work_ms = 0;     // service time at an endpoint; 0: not stated
  std::uint64_t key = 0;  // affinity key, a stable_hash(); 0: not stated
};

// Never fails: skips unknown names and implausible values.
RequestHints read_request_hints(std::string_view text);

// A hash that is the same in every process and version; never 0.
std::uint64_t stable_hash(std::string_view name);

}  // namespace meadowgauge::protocol
