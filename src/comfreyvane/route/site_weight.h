/// @file
/// Routing weight of a site.
#ifndef COMFREYVANE_ROUTE_SITE_WEIGHT_H_
#define COMFREYVANE_ROUTE_SITE_WEIGHT_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"

namespace comfreyvane {

/// Relative weight of a site among the sites at the same distance.
struct SiteWeight {
  SiteId site;
  std::uint32_t weight = 0;  ///< Zero: receives no new requests.

  friend bool operator==(const SiteWeight&, const SiteWeight&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_SITE_WEIGHT_H_
