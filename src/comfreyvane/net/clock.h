/// @file
/// The one place where the shells read the clock.
#ifndef COMFREYVANE_NET_CLOCK_H_
#define COMFREYVANE_NET_CLOCK_H_

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// @return the present time of this host's monotonic clock, which goes on
/// while the process is paused.
[[nodiscard]] TimePoint MonotonicNow();

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_CLOCK_H_
