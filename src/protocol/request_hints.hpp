// Parser of the request hints in the header X-Call-Info. Format: name=value,name=value.
#pragma once

#include <cstdint>
#include <string_view>

namespace meadowgauge::protocol {

// A client's hints for the choice of an endpoint.
struct RequestHints {
  double work_ms = 0;     // expected service time at an endpoint; 0: not stated
  std::uint64_t key = 0;  // affinity key, a stable_hash(); 0: not stated
};

// Parses `text`; skips unknown names and implausible values, and never fails.
RequestHints read_request_hints(std::string_view text);

// A hash that is the same in every process and every version. Never 0.
std::uint64_t stable_hash(std::string_view name);

}  // namespace meadowgauge::protocol
