/// @file
/// Ramp-up of cold or recovered capacity.
#ifndef COMFREYVANE_STEER_CAPACITY_RAMP_H_
#define COMFREYVANE_STEER_CAPACITY_RAMP_H_

#include <cstdint>
#include <optional>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Raises the usable fraction of cold or recovered capacity linearly with time.
class CapacityRamp {
 public:
  /// Time from the initial fraction to the full capacity.
  static constexpr Duration kDuration = std::chrono::seconds(60);

  /// Percentage of the capacity that is usable at the start.
  static constexpr std::int64_t kInitialPercent = 10;

  /// Starts or restarts the ramp.
  void Start(TimePoint now) { started_ = now; }

  /// @param capacity at least zero.
  /// @return the capacity that may be used; all of it before the first Start.
  [[nodiscard]] std::int64_t Usable(std::int64_t capacity, TimePoint now) const;

 private:
  std::optional<TimePoint> started_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_CAPACITY_RAMP_H_
