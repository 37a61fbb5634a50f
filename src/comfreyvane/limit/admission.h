/// @file
/// Result of a request for admission.
#ifndef COMFREYVANE_LIMIT_ADMISSION_H_
#define COMFREYVANE_LIMIT_ADMISSION_H_

#include "comfreyvane/base/refusal.h"

namespace comfreyvane {

/// Result of a request for admission.
struct Admission {
  bool admitted = false;
  /// Few tokens are left: the owner should call LimitShard::OnTick soon, which
  /// exchanges loans with peers.
  bool exchange_requested = false;
  Duration retry_after{0};  ///< Expected wait for tokens, if not admitted.

  friend bool operator==(const Admission&, const Admission&) = default;

  /// @pre !admitted
  [[nodiscard]] Refusal ToRefusal() const {
    return {RefusalReason::kRateExceeded, RunState::kNotRun, retry_after};
  }
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_ADMISSION_H_
