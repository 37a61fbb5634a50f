/// @file
/// What routing needs to know of a request.
#ifndef COMFREYVANE_ROUTE_ROUTE_REQUEST_H_
#define COMFREYVANE_ROUTE_ROUTE_REQUEST_H_

#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// What routing needs to know of a request.
struct RouteRequest {
  /// Fingerprint of an idempotent read whose repeats should reach the same
  /// server. Zero: none.
  RequestId affinity{};
  bool idempotent = false;
  /// Runs on a server that runs nothing else of this host (see CrashGuard).
  bool isolated = false;
  TimePoint deadline = TimePoint::max();
  std::vector<BackendServerId> excluded{};  ///< Tried already.

  friend bool operator==(const RouteRequest&, const RouteRequest&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_ROUTE_REQUEST_H_
