/// @file
/// Outcome of a begun request.
#ifndef COMFREYVANE_ONCE_RUN_OUTCOME_H_
#define COMFREYVANE_ONCE_RUN_OUTCOME_H_

#include <cstdint>

#include "comfreyvane/base/run_state.h"

namespace comfreyvane {

/// Outcome of a begun request.
struct RunOutcome {
  RunState run_state = RunState::kUnknown;
  std::uint16_t status = 0;  ///< HTTP status of the response, if it ran.

  friend bool operator==(const RunOutcome&, const RunOutcome&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ONCE_RUN_OUTCOME_H_
