// The servers and the open requests of a generated day.
#pragma once

#include <map>

#include "policy/policy.hpp"

namespace meadowgauge::test::decision_digest {

// What a server does with requests.
enum class Health { well, slow, failing, rejecting, silent, unreachable, resetting };

struct Server {
  Health health = Health::well;
  double speed = 1;
  int in_flight = 0;
};

// A request that has not ended, with what is scheduled to happen to it.
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
  std::map<int, Pending> pending;  // by the attempt's number
};

}  // namespace meadowgauge::test::decision_digest
