/// @file
/// Ramp of cold or returned capacity.
#ifndef COMFREYVANE_STEER_CAPACITY_RAMP_H_
#define COMFREYVANE_STEER_CAPACITY_RAMP_H_

#include <cstdint>
#include <optional>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Lets cold or returned capacity in by and by.
class CapacityRamp {
 public:
  /// Time from the first part to the whole.
  static constexpr Duration kDuration = std::chrono::seconds(60);

  /// The part let in at once, in percent.
  static constexpr std::int64_t kInitialPercent = 10;

  /// Starts from the first part.
  void Start(TimePoint now) { started_ = now; }

  /// @param capacity at least zero.
  /// @return the part of the capacity that may be used.
  [[nodiscard]] std::int64_t Usable(std::int64_t capacity, TimePoint now) const;

 private:
  std::optional<TimePoint> started_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_CAPACITY_RAMP_H_
