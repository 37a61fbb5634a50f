#include "comfreyvane/edge/overflow_limiter.h"

#include <algorithm>

namespace comfreyvane {
namespace {

constexpr Duration kInterval = std::chrono::seconds(1);

/// Lower bound of the number of requests from which an interval's allowance is
/// computed, so that a host with little traffic can use other regions too.
constexpr double kMinSent = 20.0;

/// Upper bound of the unused allowance that is carried over to the next
/// interval, requests.
constexpr double kMaxCarriedOver = 1.0;

}  // namespace

bool OverflowLimiter::CanOverflow(TimePoint now) const {
  if (now < suspended_until_)
    return true;
  const Interval interval = At(now);
  return interval.overflowed + 1 <= Allowed(interval);
}

bool OverflowLimiter::MustOverflow(TimePoint now) const {
  if (now < suspended_until_)
    return false;
  const Interval interval = At(now);
  const double min_fraction = std::max(0.0, interval.fraction - max_step_);
  return interval.overflowed + 1 < min_fraction * (interval.sent + 1);
}

void OverflowLimiter::OnSent(bool is_overflow, TimePoint now) {
  interval_ = At(now);
  ++interval_.sent;
  interval_.overflowed += is_overflow ? 1 : 0;
}

OverflowLimiter::Interval OverflowLimiter::At(TimePoint now) const {
  if (now < interval_.end)
    return interval_;
  Interval next;
  next.end = now + kInterval;
  next.carried_over = std::clamp(Allowed(interval_) - interval_.overflowed, 0.0,
                                 kMaxCarriedOver);
  if (interval_.sent > 0) {
    const double fraction =
        static_cast<double>(interval_.overflowed) / interval_.sent;
    next.fraction = now < suspended_until_
                        ? fraction
                        : std::min(fraction, interval_.fraction + max_step_);
  }
  return next;
}

double OverflowLimiter::Allowed(const Interval& interval) const {
  const double max_fraction = std::min(1.0, interval.fraction + max_step_);
  return max_fraction * std::max(interval.sent + 1.0, kMinSent) +
         interval.carried_over;
}

}  // namespace comfreyvane
