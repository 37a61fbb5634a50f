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

/// Start and size limit of a step.
struct StepStart {
  std::size_t moves_done = 0;  ///< Moves already in force.
  std::uint32_t cap = 0;  ///< Maximum positions that a site gains or loses.
};

/// @param count number of checkpoints, at most kStepCheckpoints.
/// @return the number of moves up to the last of these checkpoints. Equal on
///     all hosts with the same progress in the same plan.
[[nodiscard]] std::size_t CheckpointEnd(const ShiftPlan& plan,
                                        const StepStart& start,
                                        std::size_t count);

/// @return for each checkpoint, the largest number of requests that any site
///     has gained or lost up to it.
[[nodiscard]] std::array<std::uint64_t, kStepCheckpoints> MovedTraffic(
    const ShiftPlan& plan,
    const StepStart& start,
    const PositionWeights& weights);

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_STEP_CHECKPOINTS_H_
