/// @file
/// Description of a backend server for routing.
#ifndef COMFREYVANE_ROUTE_ROUTE_SERVER_H_
#define COMFREYVANE_ROUTE_ROUTE_SERVER_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/route/distance.h"

namespace comfreyvane {

/// Description of a backend server of one service, as seen by this host.
struct RouteServer {
  BackendServerId id;
  SiteId site;
  RegionId region;
  Distance distance = Distance::kSameFailureDomain;
  std::uint32_t slots = 0;  ///< Total number of slots, over all hosts.
  /// Quota of this host, from ServerSubset.
  std::uint32_t connection_quota = 0;
  bool leaving = false;  ///< Draining: receives no new requests.

  friend bool operator==(const RouteServer&, const RouteServer&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_ROUTE_SERVER_H_
