// How often keys come, from a balancer's own requests and from gossip. It only measures; KeyAffinity decides.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "policy/types.hpp"

namespace meadowgauge {

// Spreads the bits of a number evenly (SplitMix64).
std::uint64_t mix_bits(std::uint64_t bits);

// Moving shares of the most popular keys, in a table of fixed size. Keys are kept by 24 bits of their hash.
class KeyShares {
 public:
  // `gain`: weight of one request; `prior_requests`: requests before a share means anything.
  KeyShares(double gain, double prior_requests) : gain_(gain), prior_requests_(prior_requests) {}

  // Counts a request with this key; returns the key's share before it, 0 to 1.
  double record(std::uint64_t key);
  // How little is known, from 1 down to 0 as requests are counted.
  [[nodiscard]] double uncertainty() const {
    return prior_requests_ / (prior_requests_ + recorded_requests_);
  }
  // The most popular keys first, as many as a gossip message holds.
  [[nodiscard]] std::vector<KeyShare> top_shares() const;
  // Takes the mean of the own shares and those of another balancer, the most popular first. A mean stays
  // within both, however often the same shares arrive.
  void average_with(const std::vector<KeyShare>& received);

 private:
  static constexpr std::size_t table_size = 64;
  KeyShare& entry_for(std::uint32_t key);

  double gain_;
  double prior_requests_;
  double recorded_requests_ = 0;
  std::array<KeyShare, table_size> entries_{};
};

}  // namespace meadowgauge
