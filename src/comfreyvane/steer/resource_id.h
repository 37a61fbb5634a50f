/// @file
/// Identifiers of resources with a capacity.
#ifndef COMFREYVANE_STEER_RESOURCE_ID_H_
#define COMFREYVANE_STEER_RESOURCE_ID_H_

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/steer/fwd.h"

namespace comfreyvane {

/// @return the resource that stands for a region's capacity.
[[nodiscard]] ResourceId RegionResource(RegionId region);

/// @return the resource that stands for a failure domain's capacity.
[[nodiscard]] ResourceId FailureDomainResource(FailureDomainId domain);

/// @return the resource that stands for a site's capacity.
[[nodiscard]] ResourceId SiteResource(SiteId site);

/// @return the resource that stands for one direction of the link between two
///     regions.
[[nodiscard]] ResourceId LinkResource(RegionId from, RegionId to);

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_RESOURCE_ID_H_
