/// @file
/// A step of a shift.
#ifndef COMFREYVANE_STEER_STEP_TAKEN_H_
#define COMFREYVANE_STEER_STEP_TAKEN_H_

#include <cstdint>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/revision.h"
#include "comfreyvane/steer/site_allocation.h"

namespace comfreyvane {

/// A shift took a step; new answers follow the new shares.
struct StepTaken {
  ServiceId service{};
  Revision revision{};
  std::uint32_t step = 0;
  std::uint32_t moved = 0;  ///< Positions that changed their site.
  std::vector<SiteAllocation> in_force{};

  friend bool operator==(const StepTaken&, const StepTaken&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_STEP_TAKEN_H_
