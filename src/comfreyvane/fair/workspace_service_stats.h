/// @file
/// How a workspace fares in a FairQueue.
#ifndef COMFREYVANE_FAIR_WORKSPACE_SERVICE_STATS_H_
#define COMFREYVANE_FAIR_WORKSPACE_SERVICE_STATS_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"

namespace comfreyvane {

/// How a workspace fares. The owner pushes only requests within its rate.
struct WorkspaceServiceStats {
  WorkspaceId workspace;
  std::uint64_t offered = 0;  ///< Requests pushed.
  std::uint64_t served = 0;   ///< Requests popped.
  std::uint64_t dropped = 0;  ///< Requests refused or given up.

  friend bool operator==(const WorkspaceServiceStats&,
                         const WorkspaceServiceStats&) = default;

  /// @return the part of settled requests that was served; 1 if none.
  [[nodiscard]] double ServedFraction() const {
    const std::uint64_t settled = served + dropped;
    return settled == 0 ? 1.0 : static_cast<double>(served) / settled;
  }
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_FAIR_WORKSPACE_SERVICE_STATS_H_
