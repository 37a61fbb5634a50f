/// @file
/// Fraction of a limit.
#ifndef COMFREYVANE_LIMIT_SHARE_H_
#define COMFREYVANE_LIMIT_SHARE_H_

#include <algorithm>
#include <cstdint>

namespace comfreyvane {

/// Share units of a whole limit.
inline constexpr std::int64_t kTotalUnits = 1'000'000;

/// Fractions of the rate and of the burst of a limit. Shares are relative, so
/// that a changed limit takes effect at each host without a new distribution of
/// shares.
struct Share {
  std::int64_t rate = 0;   ///< Share units, out of kTotalUnits.
  std::int64_t burst = 0;  ///< Share units, out of kTotalUnits.

  friend bool operator==(const Share&, const Share&) = default;
  friend Share operator+(const Share& a, const Share& b) {
    return {a.rate + b.rate, a.burst + b.burst};
  }
  friend Share operator-(const Share& a, const Share& b) {
    return {a.rate - b.rate, a.burst - b.burst};
  }
};

/// @return the maximum of each component.
[[nodiscard]] inline Share Max(const Share& a, const Share& b) {
  return {std::max(a.rate, b.rate), std::max(a.burst, b.burst)};
}

/// @return the minimum of each component.
[[nodiscard]] inline Share Min(const Share& a, const Share& b) {
  return {std::min(a.rate, b.rate), std::min(a.burst, b.burst)};
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_SHARE_H_
