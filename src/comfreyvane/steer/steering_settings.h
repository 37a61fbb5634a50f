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

  /// Shortest time to live of an answer; leases must outlast it.
  Duration min_ttl = std::chrono::seconds(1);

  /// Allowance for callers' caches that exceed the time to live.
  Duration cache_excess = std::chrono::seconds(2);

  /// Maximum number of hosts in an answer for idempotent requests.
  std::size_t max_hosts = 3;

  /// Maximum number of other sites tried if the first has no capacity.
  std::size_t max_fallback_sites = 8;

  /// SteeringCore sets `answer_lifetime` to ttl + cache_excess.
  ShiftSettings shift;

  friend bool operator==(const SteeringSettings&,
                         const SteeringSettings&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_STEERING_SETTINGS_H_
