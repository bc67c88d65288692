// Formats and logs the policy's events.
#pragma once

#include <string>
#include <string_view>

#include "policy/policy_event.hpp"
#include "proxy/endpoint/slots.hpp"
#include "proxy/logger.hpp"

namespace meadowgauge::proxy {

// The endpoint that the event is about; `no_endpoint` if the event is not about an endpoint.
EndpointIndex endpoint_of(const PolicyEvent& event);

// The event's log message. `endpoint_name`: the name of endpoint_of(event), otherwise unused.
std::string message_of(const PolicyEvent& event, std::string_view endpoint_name);

// Logs the event at level info, with its values as log fields.
void log_policy_event(const Logger& log, const PolicyEvent& event, const EndpointSlots& endpoints);

}  // namespace meadowgauge::proxy
