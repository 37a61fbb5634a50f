/// @file
/// A pause of a shift.
#ifndef COMFREYVANE_STEER_SHIFT_PAUSED_H_
#define COMFREYVANE_STEER_SHIFT_PAUSED_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/revision.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/steer/pause_reason.h"

namespace comfreyvane {

/// A shift paused, with the inputs of that decision.
struct ShiftPaused {
  ServiceId service{};
  Revision revision{};
  std::uint32_t step = 0;  ///< The last step taken.
  PauseReason reason = PauseReason::kNoCap;
  SiteId site{};              ///< Zero if no single site is the cause.
  Duration age{0};            ///< Age of the site's measurement.
  std::int64_t headroom = 0;  ///< Measured at the site, in requests/s.
  std::int64_t needed = 0;    ///< Load added by one position, in requests/s.

  friend bool operator==(const ShiftPaused&, const ShiftPaused&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SHIFT_PAUSED_H_
