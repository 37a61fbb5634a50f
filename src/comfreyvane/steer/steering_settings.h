/// @file
/// Settings of steering.
#ifndef COMFREYVANE_STEER_STEERING_SETTINGS_H_
#define COMFREYVANE_STEER_STEERING_SETTINGS_H_

#include <cstddef>

#include "comfreyvane/base/time.h"
#include "comfreyvane/steer/shift_settings.h"

namespace comfreyvane {

/// Settings of steering.
struct SteeringSettings {
  /// Time for which callers may cache an answer.
  Duration ttl = std::chrono::seconds(10);

  /// Answers with a shorter time to live are not given.
  Duration min_ttl = std::chrono::seconds(1);

  /// Time by which a caller's cache may exceed the time to live.
  Duration cache_excess = std::chrono::seconds(2);

  /// Most hosts that an answer for idempotent requests names.
  std::size_t max_hosts = 3;

  /// Most other sites tried where the first has no room.
  std::size_t max_fallback_sites = 8;

  /// Its answer_lifetime is ttl + cache_excess.
  ShiftSettings shift;

  friend bool operator==(const SteeringSettings&,
                         const SteeringSettings&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_STEERING_SETTINGS_H_
