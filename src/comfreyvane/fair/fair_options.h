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
  std::uint32_t slots = 1;                  ///< Maximum of running requests.
  std::size_t max_workspace_entries = 256;  ///< Per workspace.
  std::size_t max_entries = 4096;           ///< Over all workspaces.
  /// Maximum queueing time of an idempotent request, even if its deadline is
  /// later.
  Duration max_idempotent_wait = std::chrono::milliseconds(500);
  /// Estimate of the service time before the first completion.
  Duration initial_service_time = std::chrono::milliseconds(20);

  friend bool operator==(const FairOptions&, const FairOptions&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_FAIR_FAIR_OPTIONS_H_
