// The random generator of the generated days, and the digest of the policy's decisions. Neither is shared
// with the policy, so that a change of the policy's random draws does not change a day.
#pragma once

#include <bit>
#include <cstdint>
#include <string_view>

namespace meadowgauge::test::decision_digest {

// Random generator: SplitMix64.
class Generator {
 public:
  explicit Generator(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
    return z ^ (z >> 31);
  }
  int below(int n) { return static_cast<int>(next() % static_cast<std::uint64_t>(n)); }
  double uniform() { return static_cast<double>(next() >> 11) / 9007199254740992.0; }
  bool chance(double p) { return uniform() < p; }

 private:
  std::uint64_t state_;
};

// 64-bit FNV-1a hash. Doubles are added by their bit patterns.
class Digest {
 public:
  void add(std::uint64_t value) {
    for (int bit = 0; bit < 64; bit += 8) {
      sum_ ^= (value >> bit) & 0xff;
      sum_ *= 0x100000001b3;
    }
  }
  void add(double value) { add(std::bit_cast<std::uint64_t>(value)); }
  void add(int value) { add(static_cast<std::uint64_t>(static_cast<std::int64_t>(value))); }
  void add(std::string_view text) {
    add(static_cast<std::uint64_t>(text.size()));
    for (unsigned char c : text) add(static_cast<std::uint64_t>(c));
  }
  [[nodiscard]] std::uint64_t sum() const { return sum_; }

 private:
  std::uint64_t sum_ = 0xcbf29ce484222325;
};

}  // namespace meadowgauge::test::decision_digest
