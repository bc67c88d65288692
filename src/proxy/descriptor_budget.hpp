// Divides a process's file descriptors among its connections.
#pragma once

#include <cstddef>

namespace meadowgauge::proxy {

// Limits of open connections, by kind.
struct DescriptorBudget {
  std::size_t downstream = 0;           // served connections
  std::size_t downstream_overflow = 0;  // accepted beyond `downstream`, only to reject their requests
  std::size_t upstream = 0;             // connections to all upstreams together
};

// `descriptors` minus those of the admin server, if there is one; 0 if `descriptors` are fewer.
std::size_t descriptors_without_admin_server(std::size_t descriptors, bool has_admin_server);
// Each part is at least 4, even if their sum exceeds `descriptors`.
DescriptorBudget divide_descriptors(std::size_t descriptors);

}  // namespace meadowgauge::proxy
