// The header line that tells a client when to repeat a rejected request.
#pragma once

#include <array>
#include <cstdio>
#include <string>

namespace meadowgauge::proxy {

// The Retry-After header line for a delay in ms, with its line end.
inline std::string retry_after_header(double ms) {
  std::array<char, 48> text{};
  std::snprintf(text.data(), text.size(), "Retry-After: %.3f\r\n", ms / 1000);
  return text.data();
}

}  // namespace meadowgauge::proxy
