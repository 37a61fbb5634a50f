/// @file
/// Bounds how fast requests move between regions.
#ifndef COMFREYVANE_EDGE_OVERFLOW_LIMITER_H_
#define COMFREYVANE_EDGE_OVERFLOW_LIMITER_H_

#include <cstdint>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Bounds how fast the fraction of requests that run outside this host's region
/// changes: from one interval to the next it moves by at most one max_step, up
/// or down.
class OverflowLimiter {
 public:
  /// @param max_step largest change of the fraction in one interval, 0 to 1.
  explicit OverflowLimiter(double max_step) : max_step_(max_step) {}

  /// @return whether another request may leave the region.
  [[nodiscard]] bool CanOverflow(TimePoint now) const;

  /// @return whether too few have overflowed for the fraction to be within a
  /// max_step.
  [[nodiscard]] bool MustOverflow(TimePoint now) const;

  /// Counts a request that was sent.
  void OnSent(bool is_overflow, TimePoint now);

  /// Lifts the bound for a while: servers of the region have failed.
  void SuspendUntil(TimePoint until) { suspended_until_ = until; }

 private:
  struct Interval {
    double fraction = 0.0;  ///< Of the interval before.
    double carried_over =
        0.0;  ///< Requests of it that might have overflowed too.
    std::uint32_t sent = 0;
    std::uint32_t overflowed = 0;
    TimePoint end{};
  };

  /// @return the interval that the time is in.
  [[nodiscard]] Interval At(TimePoint now) const;
  /// @return requests of the interval that may leave.
  [[nodiscard]] double Allowed(const Interval& interval) const;

  double max_step_;
  Interval interval_;
  TimePoint suspended_until_{};
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_OVERFLOW_LIMITER_H_
