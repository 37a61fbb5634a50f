/// @file
/// Move of a client position.
#ifndef COMFREYVANE_STEER_SHIFT_MOVE_H_
#define COMFREYVANE_STEER_SHIFT_MOVE_H_

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/steer/client_position.h"

namespace comfreyvane {

/// Moves a client position to another site.
struct ShiftMove {
  ClientPosition position = 0;
  SiteId from{};
  SiteId to{};

  friend bool operator==(const ShiftMove&, const ShiftMove&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SHIFT_MOVE_H_
