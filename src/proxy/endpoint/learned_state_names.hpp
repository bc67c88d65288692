// Translates learned state between endpoint indices, which are local to a process, and server names, which
// another process understands. The key of an entry about an endpoint ends in '@' and the endpoint; other
// entries are unchanged.
#pragma once

#include "policy/types.hpp"
#include "proxy/endpoint/slots.hpp"

namespace meadowgauge::proxy {

LearnedState with_server_names(const LearnedState& by_index, const EndpointSlots& endpoints);
// Omits entries about servers without an index in this process.
LearnedState with_endpoint_indices(const LearnedState& by_name, const EndpointSlots& endpoints);

}  // namespace meadowgauge::proxy
