#include "proxy/descriptor_budget.hpp"

#include <algorithm>

#include "transport/pool.hpp"

namespace meadowgauge::proxy {

namespace {

// Descriptors for everything except the admin server and the downstream and upstream connections.
constexpr std::size_t reserved_descriptors = 24;
// Descriptors for the admin server's connections and files.
constexpr std::size_t admin_server_descriptors = 20;
// Shares of the descriptors that remain after `reserved_descriptors`.
constexpr double downstream_share = 0.48;
constexpr double downstream_overflow_share = 0.1;
constexpr double upstream_share = 0.42;
constexpr std::size_t min_descriptors_per_part = 4;
// Share of the memory limit that is for buffers.
constexpr double buffer_memory_share = 0.625;
// Buffers for everything except one for each connection.
constexpr std::size_t other_buffers = 32;

}  // namespace

std::size_t descriptors_without_admin_server(std::size_t descriptors, bool has_admin_server) {
  return descriptors - std::min(descriptors, has_admin_server ? admin_server_descriptors : 0);
}

std::size_t descriptors_within_buffers(std::size_t descriptors, std::size_t buffers) {
  auto connections = buffers - std::min(buffers, other_buffers);
  return std::min(descriptors, connections + reserved_descriptors);
}

std::size_t reserved_buffers(const DescriptorBudget& budget) {
  return budget.downstream + budget.downstream_overflow + budget.upstream + other_buffers;
}

std::size_t buffers_within_memory(std::size_t memory_mb) {
  auto memory_bytes = static_cast<double>(memory_mb) * 1024 * 1024;
  return static_cast<std::size_t>(buffer_memory_share * memory_bytes) / transport::buffer_size;
}

DescriptorBudget divide_descriptors(std::size_t descriptors) {
  auto remaining =
      static_cast<double>(descriptors > reserved_descriptors ? descriptors - reserved_descriptors : 0);
  auto part = [remaining](double share) {
    return std::max(min_descriptors_per_part, static_cast<std::size_t>(share * remaining));
  };
  return {.downstream = part(downstream_share),
          .downstream_overflow = part(downstream_overflow_share),
          .upstream = part(upstream_share)};
}

}  // namespace meadowgauge::proxy
