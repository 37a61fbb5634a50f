/// @file
/// Time limits of a planned stop.
#ifndef COMFREYVANE_DRAIN_STOP_SETTINGS_H_
#define COMFREYVANE_DRAIN_STOP_SETTINGS_H_

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Time limits of a planned stop. The leave grace and the return timeout add up
/// to less than one second, by which a stop may outlast the longest request.
struct StopSettings {
  /// Time after the announcement in which new requests are still served.
  Duration leave_grace = std::chrono::milliseconds(500);
  /// Maximum time to wait for the return of leases and slots.
  Duration return_timeout = std::chrono::milliseconds(400);
  /// Retry delay sent to refused callers before they try another host.
  Duration retry_after = std::chrono::milliseconds(50);

  friend bool operator==(const StopSettings&, const StopSettings&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_DRAIN_STOP_SETTINGS_H_
