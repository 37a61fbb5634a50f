/// @file
/// Bounds of a FairQueue.
#ifndef COMFREYVANE_FAIR_FAIR_OPTIONS_H_
#define COMFREYVANE_FAIR_FAIR_OPTIONS_H_

#include <cstddef>
#include <cstdint>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Bounds of a FairQueue.
struct FairOptions {
  std::uint32_t slots = 1;  ///< Requests that run at a time.
  std::size_t max_workspace_entries =
      256;                         ///< Most that wait of one workspace.
  std::size_t max_entries = 4096;  ///< Most that wait in all.
  /// LongestFlow wait of an idempotent request, whatever its deadline.
  Duration max_idempotent_wait = std::chrono::milliseconds(500);
  /// Service time taken until the first completion is seen.
  Duration initial_service_time = std::chrono::milliseconds(20);

  friend bool operator==(const FairOptions&, const FairOptions&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_FAIR_FAIR_OPTIONS_H_
