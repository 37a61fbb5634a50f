#include "comfreyvane/net/clock.h"

#include <time.h>

namespace comfreyvane {

TimePoint MonotonicNow() {
  timespec now{};
  // CLOCK_BOOTTIME also counts the time that the machine is suspended.
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace comfreyvane
