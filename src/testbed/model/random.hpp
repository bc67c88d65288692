// Random numbers derived from the run's seed. Each part of a run draws from a named stream, so that the draws
// of one part never change those of another.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <string_view>

namespace meadowgauge::testbed {

using Rng = std::mt19937_64;

// Derives the seed of stream `name`, number `number`, from `seed` with the mixing function of SplitMix64
// (Steele, Lea, Flood 2014).
inline std::uint64_t derive_seed(std::uint64_t seed, std::string_view name, std::uint64_t number = 0) {
  auto splitmix64 = [](std::uint64_t z) {
    z += 0x9E3779B97F4A7C15ULL;
    z = (z ^ z >> 30) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ z >> 27) * 0x94D049BB133111EBULL;
    return z ^ z >> 31;
  };
  for (char c : name) seed = splitmix64(seed ^ static_cast<unsigned char>(c));
  return splitmix64(seed ^ splitmix64(number));
}

// Draws the next number of a stream, in [0, 1).
inline double uniform(Rng& rng) { return std::generate_canonical<double, 53>(rng); }
// Maps a seed to a number in [0, 1).
inline double uniform_of(std::uint64_t seed) { return static_cast<double>(seed >> 11) * 0x1.0p-53; }

// Returns a log-normal factor with mean 1 and this coefficient of variation, derived from the seed alone.
inline double log_normal_factor(std::uint64_t seed, double coefficient_of_variation) {
  if (coefficient_of_variation <= 0) return 1;
  double variance = std::log(1 + coefficient_of_variation * coefficient_of_variation);
  double u = std::max(uniform_of(derive_seed(seed, "u")), 1e-12);
  double v = uniform_of(derive_seed(seed, "v"));
  double z = std::sqrt(-2 * std::log(u)) * std::cos(6.283185307179586 * v);  // Box-Muller transform
  return std::exp(std::sqrt(variance) * z - variance / 2);
}

}  // namespace meadowgauge::testbed
