/// @file
/// Settings of crash containment.
#ifndef COMFREYVANE_ROUTE_CRASH_LIMITS_H_
#define COMFREYVANE_ROUTE_CRASH_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Settings of crash containment.
struct CrashLimits {
  /// Crashes at one host after which a suspect is contained.
  std::uint32_t host_crash_threshold = 2;
  /// Crashes over all hosts after which a suspect is contained.
  std::uint32_t fleet_crash_threshold = 3;
  std::size_t max_suspects = 4096;  ///< The least recently seen is evicted.
  std::size_t max_crashes = 256;    ///< The oldest is evicted.
  Duration suspect_ttl = std::chrono::hours(1);  ///< Since the last submission.
  /// Retry-after of the refusal of a contained request.
  Duration retry_after = std::chrono::seconds(60);

  friend bool operator==(const CrashLimits&, const CrashLimits&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_CRASH_LIMITS_H_
