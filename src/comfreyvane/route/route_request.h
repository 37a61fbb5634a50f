/// @file
/// Routing properties of a request.
#ifndef COMFREYVANE_ROUTE_ROUTE_REQUEST_H_
#define COMFREYVANE_ROUTE_ROUTE_REQUEST_H_

#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Properties of a request that determine its route.
struct RouteRequest {
  /// Fingerprint of an idempotent read; equal reads are sent to the same server
  /// if possible. Zero: no affinity.
  RequestId affinity{};
  bool idempotent = false;
  /// Must run on a server that runs no other request of this host; see
  /// CrashGuard.
  bool isolated = false;
  TimePoint deadline = TimePoint::max();
  std::vector<BackendServerId> excluded{};  ///< Servers that have been tried.

  friend bool operator==(const RouteRequest&, const RouteRequest&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_ROUTE_REQUEST_H_
