/// @file
/// Share of a route's requests for one service.
#ifndef COMFREYVANE_EDGE_SERVICE_SHARE_H_
#define COMFREYVANE_EDGE_SERVICE_SHARE_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"

namespace comfreyvane {

/// Share of a route's requests that goes to one service.
struct ServiceShare {
  ServiceId service;
  std::uint32_t weight = 1;  ///< Relative to the other shares of the route.

  friend bool operator==(const ServiceShare&, const ServiceShare&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_SERVICE_SHARE_H_
