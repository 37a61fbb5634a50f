/// @file
/// Rate limit on changes of the overflow to other regions.
#ifndef COMFREYVANE_EDGE_OVERFLOW_LIMITER_H_
#define COMFREYVANE_EDGE_OVERFLOW_LIMITER_H_

#include <cstdint>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Limits how fast the fraction of requests that overflow to other regions
/// changes: between two consecutive intervals it rises or falls by at most one
/// step.
class OverflowLimiter {
 public:
  /// @param max_step largest change of the fraction in one interval, 0 to 1.
  explicit OverflowLimiter(double max_step) : max_step_(max_step) {}

  /// @return whether the limit allows another request to overflow.
  [[nodiscard]] bool CanOverflow(TimePoint now) const;

  /// @return whether the next request has to overflow, since the fraction would
  ///     otherwise fall by more than a step.
  [[nodiscard]] bool MustOverflow(TimePoint now) const;

  /// Counts a request that has been sent.
  void OnSent(bool is_overflow, TimePoint now);

  /// Lifts the limit until a time, after a failure of servers in the region.
  void SuspendUntil(TimePoint until) { suspended_until_ = until; }

 private:
  struct Interval {
    double fraction = 0.0;  ///< Of the previous interval.
    /// Unused allowance of the previous interval, requests.
    double carried_over = 0.0;
    std::uint32_t sent = 0;
    std::uint32_t overflowed = 0;
    TimePoint end{};
  };

  /// @return the state of the interval that contains the time.
  [[nodiscard]] Interval At(TimePoint now) const;
  /// @return the number of requests that may overflow in the interval.
  [[nodiscard]] double Allowed(const Interval& interval) const;

  double max_step_;
  Interval interval_;
  TimePoint suspended_until_{};
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_OVERFLOW_LIMITER_H_
