// The decision module's only source of randomness.
#pragma once

#include <cstdint>
#include <random>

namespace meadowgauge {

// Pseudo-random number generator. The same seed gives the same numbers on every machine. All components share
// one generator, so their results also depend on the order in which they draw.
class Random {
 public:
  explicit Random(std::uint64_t seed) {
    std::seed_seq words{static_cast<std::uint32_t>(seed), static_cast<std::uint32_t>(seed >> 32)};
    generator_.seed(words);
  }
  // Returns a number in [0, 1).
  double uniform() { return static_cast<double>(generator_()) / 4294967296.0; }
  // Returns a number from 0 to `count` - 1. `count` must not be 0.
  std::size_t below(std::size_t count) { return generator_() % count; }

 private:
  std::mt19937 generator_;
};

}  // namespace meadowgauge
