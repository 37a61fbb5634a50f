/// @file
/// Settings of connection monitoring.
#ifndef COMFREYVANE_ROUTE_CONNECTION_LIMITS_H_
#define COMFREYVANE_ROUTE_CONNECTION_LIMITS_H_

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Settings of connection monitoring. A silent connection is found within
/// max_suspect_after + check_timeout, or check_timeout twice if the server
/// does not answer checks, after its first unanswered use.
struct ConnectionLimits {
  /// An idle connection older than this carries no idempotent request.
  Duration max_idle = std::chrono::seconds(10);
  /// An idle connection older than this carries no non-idempotent request.
  Duration max_idle_non_idempotent = std::chrono::milliseconds(500);
  Duration min_suspect_after = std::chrono::milliseconds(400);  ///< At least.
  Duration max_suspect_after = std::chrono::milliseconds(1000);
  Duration check_timeout = std::chrono::milliseconds(400);
  Duration check_interval = std::chrono::milliseconds(400);
  /// A server that confirms the work is believed until the use has taken this
  /// many times the slowest recent answer, and at least min_confirmed_timeout.
  double confirmed_timeout_factor = 3.0;
  Duration min_confirmed_timeout = std::chrono::milliseconds(1600);

  friend bool operator==(const ConnectionLimits&,
                         const ConnectionLimits&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_CONNECTION_LIMITS_H_
