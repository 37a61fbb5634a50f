/// @file
/// Sum of amounts that expire.
#ifndef COMFREYVANE_STEER_EXPIRING_SUM_H_
#define COMFREYVANE_STEER_EXPIRING_SUM_H_

#include <array>
#include <cstdint>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Sum of amounts, each counted until its expiry, rounded up to a slot.
class ExpiringSum {
 public:
  /// Granularity of expiry.
  static constexpr Duration kSlot = std::chrono::seconds(1);

  /// Maximum lifetime of an amount.
  static constexpr Duration kHorizon = std::chrono::seconds(60);

  /// @param amount at least zero.
  /// @param expires at most kHorizon after now.
  void Add(std::int64_t amount, TimePoint expires, TimePoint now);

  /// @return the sum of the unexpired amounts.
  [[nodiscard]] std::int64_t Total(TimePoint now) const;

  /// @return the time until at least `amount` has expired, or until everything
  ///     has if the sum is less.
  [[nodiscard]] Duration UntilExpired(std::int64_t amount, TimePoint now) const;

 private:
  static constexpr std::int64_t kSlots = 64;

  void Advance(std::int64_t slot);

  std::array<std::int64_t, kSlots> amounts_{};
  std::int64_t total_ = 0;
  std::int64_t slot_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_EXPIRING_SUM_H_
