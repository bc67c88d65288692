// Learned state under names that hold outside of this process. The policy knows endpoints by index, which
// another process gives out anew: between processes they go by their servers' names. An entry that is about
// an endpoint ends in '@' and the endpoint; the others pass through as they are.
#pragma once

#include "policy/types.hpp"
#include "proxy/endpoint/slots.hpp"

namespace meadowgauge::proxy {

LearnedState with_server_names(const LearnedState& by_index, const EndpointSlots& endpoints);
// Entries about servers that have no index here are left out.
LearnedState with_endpoint_indices(const LearnedState& by_name, const EndpointSlots& endpoints);

}  // namespace meadowgauge::proxy
