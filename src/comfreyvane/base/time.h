/// @file
/// Time as the decision cores see it.
#ifndef COMFREYVANE_BASE_TIME_H_
#define COMFREYVANE_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace comfreyvane {

/// The host's monotonic clock. It cannot be read here: the shells read it and
/// pass the time on, so that the cores stay deterministic.
struct MonotonicClock {
  using rep = std::int64_t;
  using period = std::nano;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<MonotonicClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): named by the standard.
  static constexpr bool is_steady = true;
};

/// A span of time, in nanoseconds.
using Duration = MonotonicClock::duration;

/// A point on one host's monotonic clock. Points of different hosts or
/// incarnations must not be compared.
using TimePoint = MonotonicClock::time_point;

/// @return a span times a factor, cut to whole nanoseconds.
[[nodiscard]] constexpr Duration Scaled(Duration span, double factor) {
  return Duration(
      static_cast<Duration::rep>(factor * static_cast<double>(span.count())));
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_BASE_TIME_H_
