/// @file
/// Share of a service's clients at a site.
#ifndef COMFREYVANE_STEER_SITE_ALLOCATION_H_
#define COMFREYVANE_STEER_SITE_ALLOCATION_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"

namespace comfreyvane {

/// The share of a service's clients that a site serves.
struct SiteAllocation {
  SiteId site{};
  std::uint32_t parts = 0;  ///< Positions, out of kWholeShare.

  friend auto operator<=>(const SiteAllocation&,
                          const SiteAllocation&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SITE_ALLOCATION_H_
