/// @file
/// A part of a limit.
#ifndef COMFREYVANE_LIMIT_SHARE_H_
#define COMFREYVANE_LIMIT_SHARE_H_

#include <algorithm>
#include <cstdint>

namespace comfreyvane {

/// All of a limit, in share units.
inline constexpr std::int64_t kTotalUnits = 1'000'000;

/// A part of the rate and a part of the burst of a limit. Shares are relative,
/// so a changed limit takes effect at each host at once.
struct Share {
  std::int64_t rate = 0;   ///< Of kTotalUnits.
  std::int64_t burst = 0;  ///< Of kTotalUnits.

  friend bool operator==(const Share&, const Share&) = default;
  friend Share operator+(const Share& a, const Share& b) {
    return {a.rate + b.rate, a.burst + b.burst};
  }
  friend Share operator-(const Share& a, const Share& b) {
    return {a.rate - b.rate, a.burst - b.burst};
  }
};

/// @return the greater of each part.
[[nodiscard]] inline Share Max(const Share& a, const Share& b) {
  return {std::max(a.rate, b.rate), std::max(a.burst, b.burst)};
}

/// @return the lesser of each part.
[[nodiscard]] inline Share Min(const Share& a, const Share& b) {
  return {std::min(a.rate, b.rate), std::min(a.burst, b.burst)};
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_SHARE_H_
