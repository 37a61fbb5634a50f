/// @file
/// End of a pause of a shift.
#ifndef COMFREYVANE_STEER_SHIFT_RESUMED_H_
#define COMFREYVANE_STEER_SHIFT_RESUMED_H_

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/revision.h"

namespace comfreyvane {

/// A paused shift continues, as the cause of the pause no longer holds.
struct ShiftResumed {
  ServiceId service{};
  Revision revision{};

  friend bool operator==(const ShiftResumed&, const ShiftResumed&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SHIFT_RESUMED_H_
