// The simulated servers and the open requests of a generated day.
#pragma once

#include <map>

#include "policy/policy.hpp"

namespace meadowgauge::test::decision_digest {

// How a simulated server treats requests.
enum class Health { healthy, slow, failing, rejecting, silent, unreachable, resetting };

// A simulated server. Its latency is divided by `speed`.
struct Server {
  Health health = Health::healthy;
  double speed = 1;
  int in_flight = 0;
};

// A request that has not ended, with the times of its scheduled events.
struct OpenRequest {
  Request request;
  double ask_again_at_ms = never;
  double body_complete_at_ms = never;
  struct Pending {
    double ends_at_ms = never;
    double times_out_at_ms = never;
    double starts_at_ms = never;
    Outcome outcome = Outcome::succeeded;
  };
  std::map<int, Pending> pending;  // attempts in flight, by number
};

}  // namespace meadowgauge::test::decision_digest
