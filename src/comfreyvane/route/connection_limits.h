/// @file
/// Settings of connection monitoring.
#ifndef COMFREYVANE_ROUTE_CONNECTION_LIMITS_H_
#define COMFREYVANE_ROUTE_CONNECTION_LIMITS_H_

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Settings of connection monitoring. An unresponsive connection is detected
/// within max_suspect_after + check_timeout after the first request that gets
/// no response, or max_suspect_after + 2 * check_timeout if the server does not
/// respond to checks either.
struct ConnectionLimits {
  /// Idle time after which a connection carries no idempotent request.
  Duration max_idle = std::chrono::seconds(10);
  /// Idle time after which a connection carries no non-idempotent request.
  Duration max_idle_non_idempotent = std::chrono::milliseconds(500);
  /// Bounds of the time without progress after which a request is suspected to
  /// be lost; in between it follows the latencies of the server.
  Duration min_suspect_after = std::chrono::milliseconds(400);
  Duration max_suspect_after = std::chrono::milliseconds(1000);
  Duration check_timeout = std::chrono::milliseconds(400);
  Duration check_interval = std::chrono::milliseconds(400);
  /// A request that the server confirms to be running times out after this
  /// multiple of the 99th percentile of the server's recent latencies, but not
  /// before min_confirmed_timeout.
  double confirmed_timeout_factor = 3.0;
  Duration min_confirmed_timeout = std::chrono::milliseconds(1600);

  friend bool operator==(const ConnectionLimits&,
                         const ConnectionLimits&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_CONNECTION_LIMITS_H_
