// Translates learned state between endpoint indices, which are local to a process, and server names, which
// are valid in every process. The key of an entry about an endpoint ends in '@' and the endpoint's index or
// name; other entries are unchanged.
#pragma once

#include "policy/types.hpp"
#include "proxy/endpoint/slots.hpp"

namespace meadowgauge::proxy {

// Replaces endpoint indices by server names.
LearnedState with_server_names(const LearnedState& by_index, const EndpointSlots& endpoints);
// Replaces server names by endpoint indices. Omits entries about servers without an index in this process.
LearnedState with_endpoint_indices(const LearnedState& by_name, const EndpointSlots& endpoints);

}  // namespace meadowgauge::proxy
