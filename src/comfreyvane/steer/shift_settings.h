/// @file
/// Settings of traffic shifts.
#ifndef COMFREYVANE_STEER_SHIFT_SETTINGS_H_
#define COMFREYVANE_STEER_SHIFT_SETTINGS_H_

#include <cstdint>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Settings of traffic shifts.
struct ShiftSettings {
  /// Longest time for which a client uses an answer: the time to live plus an
  /// allowance for caches that exceed it.
  Duration answer_lifetime = std::chrono::seconds(12);

  /// A measurement older than this is stale.
  Duration max_measurement_age = std::chrono::seconds(10);

  /// Time after the recovery of a failed site in which its clients return. No
  /// step is taken in this time, as a step on top of the return could exceed
  /// the cap.
  Duration recovery_hold = std::chrono::seconds(72);

  /// Percentage of a site's headroom that steps leave free.
  std::int64_t headroom_margin_percent = 10;

  /// Percentage of the cap that steps leave free for changes in client traffic.
  std::int64_t traffic_margin_percent = 5;

  friend bool operator==(const ShiftSettings&, const ShiftSettings&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SHIFT_SETTINGS_H_
