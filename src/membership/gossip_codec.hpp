// Encodes and decodes the gossip between the balancers of a tier. The policy decides what to publish and how
// to use received content.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "policy/types.hpp"

namespace meadowgauge {

// Encodes `content`, without the entries beyond max_gossip_endpoints and max_gossip_keys. Never fails.
std::string encode_gossip(const GossipContent& content);
// Decodes encoded gossip. Returns no value if the bytes are truncated, corrupted or of another version.
std::optional<GossipContent> decode_gossip(std::string_view bytes);

}  // namespace meadowgauge
