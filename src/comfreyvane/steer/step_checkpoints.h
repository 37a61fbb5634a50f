/// @file
/// Checkpoints within a step of a shift.
#ifndef COMFREYVANE_STEER_STEP_CHECKPOINTS_H_
#define COMFREYVANE_STEER_STEP_CHECKPOINTS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "comfreyvane/steer/fleet_progress.h"
#include "comfreyvane/steer/position_weights.h"
#include "comfreyvane/steer/shift_plan.h"

namespace comfreyvane {

/// Where a step starts, and what bounds it.
struct StepStart {
  std::size_t moves_done = 0;  ///< Moves of the plan in force.
  std::uint32_t cap = 0;       ///< Most parts that a site may gain or lose.
};

/// @param count of checkpoints, at most kStepCheckpoints.
/// @return moves up to the last of these checkpoints; the same on all hosts
///     that are equally far in the same plan.
[[nodiscard]] std::size_t CheckpointEnd(const ShiftPlan& plan,
                                        const StepStart& start,
                                        std::size_t count);

/// @return requests that a site gains or loses, of the site where these are
///     most, up to each checkpoint.
[[nodiscard]] std::array<std::uint64_t, kStepCheckpoints> MovedTraffic(
    const ShiftPlan& plan,
    const StepStart& start,
    const PositionWeights& weights);

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_STEP_CHECKPOINTS_H_
