/// @file
/// Bounds how fast requests move between regions.
#ifndef COMFREYVANE_EDGE_SPILL_RAMP_H_
#define COMFREYVANE_EDGE_SPILL_RAMP_H_

#include <cstdint>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Bounds how fast the part of requests that run outside this host's region
/// changes: from one interval to the next it moves by at most one step, up or
/// down.
class SpillRamp {
 public:
  /// @param step largest change of the part in one interval, 0 to 1.
  explicit SpillRamp(double step) : step_(step) {}

  /// @return whether another request may leave the region.
  [[nodiscard]] bool MayLeave(TimePoint now) const;

  /// @return whether too few have left for the part to be within a step.
  [[nodiscard]] bool ShouldLeave(TimePoint now) const;

  /// Counts a request that was sent.
  void OnSent(bool left_region, TimePoint now);

  /// Lifts the bound for a while: servers of the region have failed.
  void Release(TimePoint until) { released_until_ = until; }

 private:
  struct Interval {
    double part = 0.0;   ///< Of the interval before.
    double carry = 0.0;  ///< Requests of it that might have left too.
    std::uint32_t sent = 0;
    std::uint32_t left = 0;
    TimePoint end{};
  };

  /// @return the interval that the time is in.
  [[nodiscard]] Interval At(TimePoint now) const;
  /// @return requests of the interval that may leave.
  [[nodiscard]] double Allowed(const Interval& interval) const;

  double step_;
  Interval interval_;
  TimePoint released_until_{};
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_SPILL_RAMP_H_
