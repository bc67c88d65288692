// The events that the policy reports for the log. The proxy formats them as log lines.
#pragma once

#include <string>
#include <variant>

#include "policy/types.hpp"

namespace meadowgauge {

// An endpoint changes from healthy to ejected. Relapses are not reported again.
struct EndpointEjected {
  EndpointIndex endpoint = no_endpoint;
  double failure_share = 0;        // failures / outcomes of this endpoint, 0 to 1
  double peers_failure_share = 0;  // failures / outcomes of all other endpoints, 0 to 1
};

// The admission throttle drops more than a tenth of the requests. Reported at most every five seconds.
struct RequestsDropped {
  double drop_probability = 0;  // 0 to 1
};

// Several consecutive calls for the endpoint list have failed. The last known list stays in use.
struct DiscoveryUnreachable {
  int failure_count = 0;  // consecutive
};

// An endpoint list has arrived after DiscoveryUnreachable.
struct DiscoveryRecovered {};

// A setting's value is not a finite number; the default is used.
struct InvalidSetting {
  std::string name;
  std::string value;
};

using PolicyEvent =
    std::variant<EndpointEjected, RequestsDropped, DiscoveryUnreachable, DiscoveryRecovered, InvalidSetting>;

}  // namespace meadowgauge
