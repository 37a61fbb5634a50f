/// @file
/// Time limits of a planned stop.
#ifndef COMFREYVANE_DRAIN_STOP_SETTINGS_H_
#define COMFREYVANE_DRAIN_STOP_SETTINGS_H_

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Time limits of a planned stop. By default the stop waits for running
/// requests without a limit; the leave grace and the return timeout then add up
/// to less than one second, by which a stop may outlast the longest request.
struct StopSettings {
  /// Time after the announcement in which new requests are still served.
  Duration leave_grace = std::chrono::milliseconds(500);
  /// Maximum time to wait for the return of leases and slots.
  Duration return_timeout = std::chrono::milliseconds(400);
  /// Retry delay sent to refused callers before they try another host.
  Duration retry_after = std::chrono::milliseconds(50);
  /// Time from the signal after which the process is killed; maximum if never.
  Duration grace = Duration::max();
  /// Whether requests on open connections are served after the leave grace, if
  /// their deadlines lie within the grace.
  bool takes_late = false;

  friend bool operator==(const StopSettings&, const StopSettings&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_DRAIN_STOP_SETTINGS_H_
