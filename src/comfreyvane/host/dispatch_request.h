/// @file
/// A request for a slot.
#ifndef COMFREYVANE_HOST_DISPATCH_REQUEST_H_
#define COMFREYVANE_HOST_DISPATCH_REQUEST_H_

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/route/route_request.h"

namespace comfreyvane {

/// What a dispatcher needs to know of a request.
struct DispatchRequest {
  WorkspaceId workspace;  ///< Zero on open routes without a key.
  RouteRequest route;

  friend bool operator==(const DispatchRequest&,
                         const DispatchRequest&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_DISPATCH_REQUEST_H_
