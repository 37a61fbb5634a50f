#include "comfreyvane/steer/fleet_progress.h"

#include <algorithm>
#include <functional>

namespace comfreyvane {

FleetProgress Combine(const FleetProgress& left, const FleetProgress& right) {
  FleetProgress combined{
      .plan = left.plan == right.plan ? left.plan : 0,
      .remaining = std::max(left.remaining, right.remaining),
      .reported_at = std::min(left.reported_at, right.reported_at),
      .min_remaining = std::min(left.min_remaining, right.min_remaining),
      .traffic = left.traffic + right.traffic};
  std::ranges::transform(left.moved_traffic, right.moved_traffic,
                         combined.moved_traffic.begin(), std::plus<>());
  return combined;
}

}  // namespace comfreyvane
