/// @file
/// Bounds on what arrives at a site.
#ifndef COMFREYVANE_STEER_SITE_SHARE_BOUNDS_H_
#define COMFREYVANE_STEER_SITE_SHARE_BOUNDS_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"

namespace comfreyvane {

/// Bounds on the part of a service's clients that arrives at a site while
/// answers from several share maps are alive.
struct SiteShareBounds {
  SiteId site{};
  std::uint32_t min = 0;  ///< PositionCount that every map sends there.
  std::uint32_t max = 0;  ///< PositionCount that some map sends there.

  friend bool operator==(const SiteShareBounds&,
                         const SiteShareBounds&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SITE_SHARE_BOUNDS_H_
