/// @file
/// End of a shift.
#ifndef COMFREYVANE_STEER_SHIFT_COMPLETED_H_
#define COMFREYVANE_STEER_SHIFT_COMPLETED_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/revision.h"

namespace comfreyvane {

/// A shift has reached its target shares.
struct ShiftCompleted {
  ServiceId service{};
  Revision revision{};
  std::uint32_t steps = 0;

  friend bool operator==(const ShiftCompleted&,
                         const ShiftCompleted&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SHIFT_COMPLETED_H_
