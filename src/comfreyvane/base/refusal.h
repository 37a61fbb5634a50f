/// @file
/// A typed refusal.
#ifndef COMFREYVANE_BASE_REFUSAL_H_
#define COMFREYVANE_BASE_REFUSAL_H_

#include "comfreyvane/base/refusal_reason.h"
#include "comfreyvane/base/run_state.h"
#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Why a request gets no answer from a backend server, as told to its caller.
/// Travels as a Boost.LEAF error object.
struct Refusal {
  RefusalReason reason = RefusalReason::kInternal;
  RunState run_state = RunState::kNotRun;
  Duration retry_after{0};  ///< Zero: no advice.

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_BASE_REFUSAL_H_
