/// @file
/// Result of routing a request.
#ifndef COMFREYVANE_ROUTE_ROUTE_CHOICE_H_
#define COMFREYVANE_ROUTE_ROUTE_CHOICE_H_

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/route/choice_reason.h"
#include "comfreyvane/route/distance.h"

namespace comfreyvane {

/// Backend server that RouteCore chose for a request.
struct RouteChoice {
  BackendServerId server;
  Distance distance = Distance::kSameFailureDomain;
  ChoiceReason reason = ChoiceReason::kLeastLoaded;

  friend bool operator==(const RouteChoice&, const RouteChoice&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_ROUTE_CHOICE_H_
