/// @file
/// Backend server as an input of ServerSubset.
#ifndef COMFREYVANE_ROUTE_SUBSET_SERVER_H_
#define COMFREYVANE_ROUTE_SUBSET_SERVER_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"

namespace comfreyvane {

/// A backend server whose connections are divided among the hosts.
struct SubsetServer {
  BackendServerId id;
  FailureDomainId failure_domain;
  std::uint32_t connections = 0;  ///< Maximum over all hosts.

  friend bool operator==(const SubsetServer&, const SubsetServer&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_SUBSET_SERVER_H_
