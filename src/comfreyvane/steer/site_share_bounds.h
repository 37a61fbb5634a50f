/// @file
/// Bounds on the share of clients that a site receives.
#ifndef COMFREYVANE_STEER_SITE_SHARE_BOUNDS_H_
#define COMFREYVANE_STEER_SITE_SHARE_BOUNDS_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"

namespace comfreyvane {

/// Bounds on the share of a service's clients that a site receives while
/// answers from several share maps are valid, in parts of kWholeShare.
struct SiteShareBounds {
  SiteId site{};
  std::uint32_t min = 0;  ///< Positions that every map sends there.
  std::uint32_t max = 0;  ///< Positions that at least one map sends there.

  friend bool operator==(const SiteShareBounds&,
                         const SiteShareBounds&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SITE_SHARE_BOUNDS_H_
