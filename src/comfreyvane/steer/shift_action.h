/// @file
/// What a shift decided.
#ifndef COMFREYVANE_STEER_SHIFT_ACTION_H_
#define COMFREYVANE_STEER_SHIFT_ACTION_H_

#include <variant>

#include "comfreyvane/steer/shift_completed.h"
#include "comfreyvane/steer/shift_paused.h"
#include "comfreyvane/steer/shift_resumed.h"
#include "comfreyvane/steer/step_taken.h"

namespace comfreyvane {

/// A decision of a shift, for logs, counters and peers.
using ShiftAction =
    std::variant<StepTaken, ShiftPaused, ShiftResumed, ShiftCompleted>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SHIFT_ACTION_H_
