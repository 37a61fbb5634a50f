/// @file
/// Answer to a request for admission.
#ifndef COMFREYVANE_LIMIT_ADMISSION_H_
#define COMFREYVANE_LIMIT_ADMISSION_H_

#include "comfreyvane/base/refusal.h"

namespace comfreyvane {

/// Answer to a request for admission.
struct Admission {
  bool admitted = false;
  /// The host runs short: the owner should call LimitShard::OnTick soon.
  bool exchange_requested = false;
  Duration retry_after{0};  ///< When a token may be there, if not admitted.

  friend bool operator==(const Admission&, const Admission&) = default;

  /// @pre !admitted
  [[nodiscard]] Refusal ToRefusal() const {
    return {RefusalReason::kRateExceeded, RunState::kNotRun, retry_after};
  }
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_ADMISSION_H_
