/// @file
/// Shares in percent.
#ifndef COMFREYVANE_DECLARE_PERCENT_H_
#define COMFREYVANE_DECLARE_PERCENT_H_

#include <compare>
#include <cstdint>

#include "comfreyvane/config/site_share.h"

namespace comfreyvane::declare {

/// A share in percent, kept in parts of kWholeShare: 0.01% is the finest.
class Percent {
 public:
  /// @param percent from 0; rounded to hundredths.
  constexpr explicit Percent(double percent)
      : parts_(static_cast<std::uint32_t>(percent * kTenthsPerPercent + 5) /
               10) {}

  [[nodiscard]] constexpr std::uint32_t parts() const { return parts_; }

  friend constexpr auto operator<=>(const Percent&, const Percent&) = default;

 private:
  /// Tenths of a part in one percent, from which parts are rounded.
  static constexpr std::uint32_t kTenthsPerPercent = kWholeShare / 10;

  std::uint32_t parts_ = 0;
};

}  // namespace comfreyvane::declare

#endif  // COMFREYVANE_DECLARE_PERCENT_H_
