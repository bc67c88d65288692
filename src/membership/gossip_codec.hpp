// Encodes and decodes the gossip between the balancers of a tier. The policy decides what is published and
// how received content is used.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "policy/types.hpp"

namespace meadowgauge {

// Never fails. Omits entries beyond max_gossip_endpoints and max_gossip_keys.
std::string encode_gossip(const GossipContent& content);
// No value for bytes that are truncated, corrupted or of another version.
std::optional<GossipContent> decode_gossip(std::string_view bytes);

}  // namespace meadowgauge
