/// A random number generator that is determined by a seed.
#pragma once

#include "soak_clock.h"

#include <cstddef>
#include <cstdint>
#include <random>

namespace fault_soak {

class RandomSource {
public:
  explicit RandomSource(std::uint64_t seed) : generator_(seed) {}

  [[nodiscard]] std::uint64_t next() { return generator_(); }

  /// A uniformly distributed number from `low` to `high`, both included.
  [[nodiscard]] Millis between(Millis low, Millis high) {
    return std::uniform_int_distribution<Millis>(low, high)(generator_);
  }

  /// A uniformly distributed index below `count`, which must be above 0.
  [[nodiscard]] std::size_t index(std::size_t count) {
    return static_cast<std::size_t>(between(0, static_cast<Millis>(count) - 1));
  }

  [[nodiscard]] bool draw_bool(double probability) {
    return std::bernoulli_distribution(probability)(generator_);
  }

private:
  std::mt19937_64 generator_;
};

}  // namespace fault_soak
