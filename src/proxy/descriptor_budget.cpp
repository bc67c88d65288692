#include "proxy/descriptor_budget.hpp"

#include <algorithm>

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

}  // namespace

std::size_t descriptors_without_admin_server(std::size_t descriptors, bool has_admin_server) {
  return descriptors - std::min(descriptors, has_admin_server ? admin_server_descriptors : 0);
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
