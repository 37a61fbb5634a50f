/// @file
/// Host as an input of ServerSubset.
#ifndef COMFREYVANE_ROUTE_SUBSET_HOST_H_
#define COMFREYVANE_ROUTE_SUBSET_HOST_H_

#include "comfreyvane/base/basic_id.h"

namespace comfreyvane {

/// A live host. All hosts must pass the same values to ServerSubset.
struct SubsetHost {
  HostId id;
  FailureDomainId failure_domain;

  friend bool operator==(const SubsetHost&, const SubsetHost&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_SUBSET_HOST_H_
