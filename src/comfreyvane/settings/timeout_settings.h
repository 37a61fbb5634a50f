/// @file
/// Timeouts of a host's own calls.
#ifndef COMFREYVANE_SETTINGS_TIMEOUT_SETTINGS_H_
#define COMFREYVANE_SETTINGS_TIMEOUT_SETTINGS_H_

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Timeouts of a host's calls to others.
struct TimeoutSettings {
  Duration backend_connect = std::chrono::milliseconds(500);
  Duration platform_call = std::chrono::seconds(2);
  Duration peer_call = std::chrono::seconds(1);
  /// How long a planned stop waits for running requests before it gives up.
  Duration stop = std::chrono::seconds(60);

  friend bool operator==(const TimeoutSettings&,
                         const TimeoutSettings&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SETTINGS_TIMEOUT_SETTINGS_H_
