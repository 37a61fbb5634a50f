/// @file
/// Network distance between a backend server and this host.
#ifndef COMFREYVANE_ROUTE_DISTANCE_H_
#define COMFREYVANE_ROUTE_DISTANCE_H_

#include <cstddef>

namespace comfreyvane {

/// Network distance between a backend server and this host, nearest first.
enum class Distance {
  kSameFailureDomain,
  kSameRegion,
  kOtherRegion,
};

/// Number of enumerators of Distance.
inline constexpr std::size_t kDistanceCount =
    static_cast<std::size_t>(Distance::kOtherRegion) + 1;

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_DISTANCE_H_
