/// @file
/// Seeded random numbers for the decision cores.
#ifndef COMFREYVANE_BASE_RANDOM_SOURCE_H_
#define COMFREYVANE_BASE_RANDOM_SOURCE_H_

#include <cstdint>
#include <random>

namespace comfreyvane {

/// Random numbers from a seed given by the owner, so that a core repeats the
/// same decisions from the same seed.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  /// @return a number in [0, 1).
  [[nodiscard]] double Uniform() {
    return std::uniform_real_distribution<double>(0.0, 1.0)(engine_);
  }

  /// @param bound more than zero.
  /// @return a number in [0, bound).
  [[nodiscard]] std::uint64_t Below(std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_BASE_RANDOM_SOURCE_H_
