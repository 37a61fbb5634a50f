/// @file
/// Progress of a shift, as exchanged between hosts.
#ifndef COMFREYVANE_STEER_SHIFT_PROGRESS_H_
#define COMFREYVANE_STEER_SHIFT_PROGRESS_H_

#include <cstdint>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/revision.h"
#include "comfreyvane/steer/share_run.h"
#include "comfreyvane/steer/site_allocation.h"

namespace comfreyvane {

/// The state that a starting host needs to resume a shift at its peers'
/// progress.
struct ShiftProgress {
  ServiceId service{};
  Revision revision{};
  std::uint32_t step = 0;
  std::uint64_t plan = 0;       ///< Digest of the plan.
  std::uint32_t remaining = 0;  ///< Positions yet to move.
  std::vector<SiteAllocation> declared{};
  std::vector<ShareRun> base{};     ///< The map before the first step.
  std::vector<ShareRun> earlier{};  ///< Map whose clients are moved back first.

  friend bool operator==(const ShiftProgress&, const ShiftProgress&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SHIFT_PROGRESS_H_
