/// @file
/// Bounds how many lines of a kind are logged.
#ifndef COMFREYVANE_LOG_LINE_BUDGET_H_
#define COMFREYVANE_LOG_LINE_BUDGET_H_

#include <algorithm>
#include <cstdint>
#include <utility>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// A token bucket of log lines that counts what it suppresses.
class LineBudget {
 public:
  /// @param per_second lines a second, and most lines at once.
  explicit LineBudget(double per_second)
      : per_second_(per_second), lines_(per_second) {}

  /// Takes a line.
  /// @return whether it may be written.
  [[nodiscard]] bool TryTake(TimePoint now) {
    const double seconds =
        std::chrono::duration<double>(now - updated_).count();
    updated_ = now;
    lines_ = std::min(per_second_,
                      lines_ + per_second_ * std::clamp(seconds, 0.0, 1.0));
    if (lines_ < 1.0) {
      ++suppressed_;
      return false;
    }
    lines_ -= 1.0;
    return true;
  }

  /// @return lines suppressed since the last call.
  [[nodiscard]] std::uint64_t TakeSuppressed() {
    return std::exchange(suppressed_, 0);
  }

 private:
  double per_second_;
  double lines_;
  TimePoint updated_{};
  std::uint64_t suppressed_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LOG_LINE_BUDGET_H_
