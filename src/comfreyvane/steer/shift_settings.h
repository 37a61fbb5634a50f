/// @file
/// Settings of traffic shifts.
#ifndef COMFREYVANE_STEER_SHIFT_SETTINGS_H_
#define COMFREYVANE_STEER_SHIFT_SETTINGS_H_

#include <cstdint>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Settings of traffic shifts.
struct ShiftSettings {
  /// Longest time for which a client uses an answer: the time to live with an
  /// allowance for caches that exceed it.
  Duration answer_lifetime = std::chrono::seconds(12);

  /// A measurement older than this is stale.
  Duration max_measurement_age = std::chrono::seconds(10);

  /// Time after a failed site's return in which its clients come back; steps
  /// wait so long, as both together could exceed the cap.
  Duration recovery_hold = std::chrono::seconds(72);

  /// Part of a site's headroom that steps leave free, in percent.
  std::int64_t headroom_margin_percent = 10;

  /// Part of the cap that steps leave free for changes in the traffic of
  /// clients, in percent.
  std::int64_t traffic_margin_percent = 5;

  friend bool operator==(const ShiftSettings&, const ShiftSettings&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SHIFT_SETTINGS_H_
