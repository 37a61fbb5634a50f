/// @file
/// Why a shift is where it is.
#ifndef COMFREYVANE_STEER_SHIFT_EXPLANATION_H_
#define COMFREYVANE_STEER_SHIFT_EXPLANATION_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/revision.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/steer/fleet_progress.h"
#include "comfreyvane/steer/shift_paused.h"
#include "comfreyvane/steer/site_allocation.h"
#include "comfreyvane/steer/site_measurement.h"
#include "comfreyvane/steer/site_share_bounds.h"

namespace comfreyvane {

/// The state of a shift with the inputs and revision that it derives from.
struct ShiftExplanation {
  ServiceId service{};
  Revision revision{};
  std::uint32_t step = 0;
  std::uint32_t cap = 0;        ///< In parts of kWholeShare.
  std::uint32_t remaining = 0;  ///< Positions yet to move.
  std::vector<SiteAllocation> in_force{};
  std::vector<SiteAllocation> declared{};
  std::vector<SiteShareBounds>
      share_bounds{};  ///< While answers are unexpired.
  std::vector<SiteMeasurement> measurements{};
  TimePoint now{};  ///< Reference time for the ages of measurements.
  std::optional<FleetProgress> fleet{};
  std::optional<ShiftPaused> paused{};

  friend bool operator==(const ShiftExplanation&,
                         const ShiftExplanation&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SHIFT_EXPLANATION_H_
