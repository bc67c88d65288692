// Divides a process's descriptors among its connections.
#pragma once

#include <cstddef>

namespace meadowgauge::proxy {

struct DescriptorBudget {
  std::size_t downstream = 0;           // served connections
  std::size_t downstream_overflow = 0;  // accepted beyond those, only to reject their requests
  std::size_t upstream = 0;             // connections to all upstreams together
};

// `descriptors` less those of the admin server, if there is one.
std::size_t descriptors_beside_admin(std::size_t descriptors, bool has_admin_server);
// Each part is at least 4, even if their sum exceeds `descriptors`.
DescriptorBudget divide_descriptors(std::size_t descriptors);

}  // namespace meadowgauge::proxy
