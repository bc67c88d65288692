// Settings of the soak's runs, time limits that its checks use, and the random numbers of a run.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "fixtures/proxy_process.hpp"

namespace meadowgauge::test {

constexpr int max_client_timeout_ms = 900;
constexpr int connections_in_use = 6;
constexpr int upstream_count = 3;
// The earliest SIGKILL after SIGTERM: the maximum client timeout plus 0.7 s.
constexpr auto kill_delay = std::chrono::milliseconds(max_client_timeout_ms + 700);
// Allowance for the test's own delays on a busy machine.
constexpr auto tolerance = std::chrono::milliseconds(400);
constexpr auto drain_grace = std::chrono::milliseconds(400 + 50);
// A request sent less than this before the end of its connection may have crossed the end in transit.
constexpr auto crossing_time = std::chrono::milliseconds(250);

inline const std::string soak_settings =
    R"(,"rules":{"stop_sending_within_ms":400.0},"limits":{"dial_timeout_ms":300.0},)"
    R"("path_prefixes":[{"name":"pay","repeat":"at_most_once","client_timeout_ms":900.0},)"
    R"({"name":"view","repeat":"idempotent","client_timeout_ms":900.0},)"
    R"({"name":"set","repeat":"deduplicated","group":"zone","key_ttl_ms":5000.0,)"
    R"("client_timeout_ms":900.0},)"
    R"({"name":"hold","repeat":"deduplicated","group":"cell","key_ttl_ms":5000.0,)"
    R"("client_timeout_ms":900.0}])";

inline ProxyOptions options_of(std::uint32_t seed, const std::vector<int>& cells, bool wait_until_listening) {
  std::string settings = soak_settings;
  if (seed % 3 == 0) settings += R"(,"discovery":"subscribe")";
  return {.upstreams = upstream_count,
          .settings = settings,
          .sockets = 128,
          .leave_ms = "",
          .cancelling = seed % 2 == 0,
          .wait_until_listening = wait_until_listening,
          .cells = cells};
}

// The random numbers of one run, all derived from its seed.
class RandomDraws {
 public:
  explicit RandomDraws(std::uint32_t seed) : random_(seed) {}
  // A random integer from 0 to n - 1.
  int below(int n) { return static_cast<int>(random_() % static_cast<unsigned>(n)); }

 private:
  std::mt19937 random_;
};

}  // namespace meadowgauge::test
