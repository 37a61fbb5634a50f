#include "comfreyvane/edge/wait_policy.h"

#include <algorithm>

namespace comfreyvane {
namespace {

/// Fraction of the objective that a request may wait even if its answer will be
/// late.
constexpr double kLateWaitFraction = 0.12;

/// Fraction of the time between the expected work and the objective that a
/// request may wait.
constexpr double kWaitFraction = 0.8;

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(1);

/// Longest Retry-After of a refusal by limits, whose rates may be far below one
/// request per second.
constexpr Duration kMaxLimitRetryAfter = std::chrono::seconds(10);

/// Time in which two rounds of probes find out that a path is back.
constexpr Duration kPathRetryAfter = std::chrono::milliseconds(500);

/// Longer waits are all the same; keeps sums of durations in range.
constexpr double kMaxForeseenSeconds = 3600.0;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

TimePoint WaitDeadline(const WaitTerms& terms) {
  const Duration wait =
      std::max(Scaled(terms.objective - terms.work, kWaitFraction),
               Scaled(terms.objective, kLateWaitFraction));
  return std::min(terms.started + wait, terms.deadline);
}

Duration RetryAfter(Duration expected_wait) {
  return std::clamp(expected_wait, kMinRetryAfter, kMaxRetryAfter);
}

Duration LimitWait(const LimitedRoom& room, std::size_t ahead) {
  if (room.wait == Duration::max() || room.own_rate <= 0.0)
    return room.wait;
  const double seconds = static_cast<double>(ahead) / room.own_rate;
  return room.wait + FromSeconds(std::min(seconds, kMaxForeseenSeconds));
}

Duration NoPathRetryAfter() {
  return kPathRetryAfter;
}

Duration LimitRetryAfter(const LimitedRoom& room) {
  if (room.fleet_rate * Seconds(kMaxLimitRetryAfter) <= 1.0)
    return kMaxLimitRetryAfter;
  return std::clamp(FromSeconds(1.0 / room.fleet_rate), kMinRetryAfter,
                    kMaxLimitRetryAfter);
}

}  // namespace comfreyvane
