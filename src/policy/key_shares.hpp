// Measures how often keys are requested, from a balancer's own requests and from gossip. Used by KeyAffinity.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "policy/types.hpp"

namespace meadowgauge {

// Hashes a number: one step of SplitMix64, which spreads its bits evenly.
std::uint64_t mix_bits(std::uint64_t bits);

// Moving averages of the request shares of the most popular keys, in a table of 64 entries. A key is
// identified by 24 bits of its hash.
class KeyShares {
 public:
  // `gain`: weight of one request; `prior_requests`: number of requests before a share is meaningful.
  KeyShares(double gain, double prior_requests) : gain_(gain), prior_requests_(prior_requests) {}

  // Counts a request with this key. Returns the key's share before this request, 0 to 1.
  double record(std::uint64_t key);
  // Uncertainty of the shares: 1 at the start, approaching 0 as requests are counted.
  [[nodiscard]] double uncertainty() const {
    return prior_requests_ / (prior_requests_ + recorded_requests_);
  }
  // The most popular keys, in descending order of share, as many as fit into a gossip message.
  [[nodiscard]] std::vector<KeyShare> top_shares() const;
  // Averages the shares with those of another balancer, which must be in descending order. A repeated message
  // does no harm, since an average stays between its two inputs.
  void average_with(const std::vector<KeyShare>& received);

 private:
  static constexpr std::size_t table_size = 64;
  KeyShare& find_or_least_popular(std::uint32_t key);

  double gain_;
  double prior_requests_;
  double recorded_requests_ = 0;
  std::array<KeyShare, table_size> entries_{};
};

}  // namespace meadowgauge
