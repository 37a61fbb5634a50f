/// @file
/// Capacities that a configuration declares.
#ifndef COMFREYVANE_STEER_RESOURCE_CAPACITY_H_
#define COMFREYVANE_STEER_RESOURCE_CAPACITY_H_

#include <cstdint>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/config/fwd.h"
#include "comfreyvane/steer/fwd.h"

namespace comfreyvane {

/// Total capacity of a resource, which grants divide among hosts.
struct ResourceCapacity {
  ResourceId resource{};
  /// Thousandths of a request per second; for a link, bit/s.
  std::int64_t rate = 0;

  friend auto operator<=>(const ResourceCapacity&,
                          const ResourceCapacity&) = default;
};

/// @return the capacities of all regions, failure domains, sites and links.
///     Each direction of a link is a resource of its own; the capacity of a
///     failure domain is the sum over its sites.
[[nodiscard]] std::vector<ResourceCapacity> CapacitiesOf(
    const Configuration& configuration);

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_RESOURCE_CAPACITY_H_
