// Random numbers from seeds. Streams are independent by name: the draws of one part of a run never change
// those of another part.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <string_view>

namespace meadowgauge::testbed {

using Rng = std::mt19937_64;

// Returns the seed of stream `name`, number `n`, of a run, mixed as in SplitMix64 (Steele, Lea, Flood 2014).
inline std::uint64_t mixed(std::uint64_t seed, std::string_view name, std::uint64_t n = 0) {
  auto mix = [](std::uint64_t z) {
    z += 0x9E3779B97F4A7C15ULL;
    z = (z ^ z >> 30) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ z >> 27) * 0x94D049BB133111EBULL;
    return z ^ z >> 31;
  };
  for (char c : name) seed = mix(seed ^ static_cast<unsigned char>(c));
  return mix(seed ^ mix(n));
}

// The next number of a stream, in [0, 1).
inline double uniform(Rng& rng) { return std::generate_canonical<double, 53>(rng); }
// A number in [0, 1) that depends on the seed alone.
inline double uniform_of(std::uint64_t seed) { return static_cast<double>(seed >> 11) * 0x1.0p-53; }

// A log-normal factor with mean 1 and this coefficient of variation; depends on the seed alone.
inline double spread_of(std::uint64_t seed, double variation) {
  if (variation <= 0) return 1;
  double sigma2 = std::log(1 + variation * variation);
  double u = std::max(uniform_of(mixed(seed, "u")), 1e-12);
  double v = uniform_of(mixed(seed, "v"));
  double z = std::sqrt(-2 * std::log(u)) * std::cos(6.283185307179586 * v);  // Box and Muller
  return std::exp(std::sqrt(sigma2) * z - sigma2 / 2);
}

}  // namespace meadowgauge::testbed
