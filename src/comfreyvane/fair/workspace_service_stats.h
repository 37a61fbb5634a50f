/// @file
/// Service statistics of a workspace in a FairQueue.
#ifndef COMFREYVANE_FAIR_WORKSPACE_SERVICE_STATS_H_
#define COMFREYVANE_FAIR_WORKSPACE_SERVICE_STATS_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"

namespace comfreyvane {

/// Service statistics of a workspace in a FairQueue. Requests above the rate
/// limit of the workspace are not counted: the owner does not push them.
struct WorkspaceServiceStats {
  WorkspaceId workspace;
  std::uint64_t offered = 0;  ///< Requests pushed.
  std::uint64_t served = 0;   ///< Requests popped.
  std::uint64_t dropped = 0;  ///< Requests refused, shed or expired.

  friend bool operator==(const WorkspaceServiceStats&,
                         const WorkspaceServiceStats&) = default;

  /// @return the fraction of the served and dropped requests that was served; 1
  ///     if there are none.
  [[nodiscard]] double ServedFraction() const {
    const std::uint64_t settled = served + dropped;
    return settled == 0 ? 1.0 : static_cast<double>(served) / settled;
  }
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_FAIR_WORKSPACE_SERVICE_STATS_H_
