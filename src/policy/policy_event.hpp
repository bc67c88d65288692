// What the policy reports for the log, as values with fields. The proxy has the wording.
#pragma once

#include <string>
#include <variant>

#include "policy/types.hpp"

namespace meadowgauge {

// An endpoint goes from healthy to ejected. Not reported again while it relapses.
struct EndpointEjected {
  EndpointIndex endpoint = no_endpoint;
  double failure_share = 0;        // of its own outcomes, 0 to 1
  double peers_failure_share = 0;  // of the other endpoints' outcomes, 0 to 1
};

// The admission throttle drops a considerable share of the requests. Reported at intervals while it does.
struct RequestsDropped {
  double drop_probability = 0;  // 0 to 1
};

// So many calls for the endpoint list have failed in a row; the last list stays in use.
struct DiscoveryUnreachable {
  int failure_count = 0;
};

// An endpoint list has come after DiscoveryUnreachable.
struct DiscoveryRecovered {};

// A setting is not a finite number and takes its default.
struct InvalidSetting {
  std::string name;
  std::string value;
};

using PolicyEvent =
    std::variant<EndpointEjected, RequestsDropped, DiscoveryUnreachable, DiscoveryRecovered, InvalidSetting>;

}  // namespace meadowgauge
