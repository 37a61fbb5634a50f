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

}  // namespace comfreyvane
