// Divides a process's file descriptors among its connections, and its buffers among those.
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

// The number of buffers of the pool. The rest of the memory is for the program and for the state of
// connections.
std::size_t buffers_within_memory(std::size_t memory_mb);
// At most as many descriptors as there are connections that `buffers` suffice for, see reserved_buffers().
std::size_t descriptors_within_buffers(std::size_t descriptors, std::size_t buffers);
// The buffers that bodies may not take: one for each connection that may be open, and some for the watch on
// discovery and for the connection that is being read.
std::size_t reserved_buffers(const DescriptorBudget& budget);

}  // namespace meadowgauge::proxy
