/// @file
/// Answer to a submission.
#ifndef COMFREYVANE_ONCE_LEDGER_ANSWER_H_
#define COMFREYVANE_ONCE_LEDGER_ANSWER_H_

#include <cstdint>
#include <variant>

#include "comfreyvane/base/refusal.h"

namespace comfreyvane {

/// The request has not been submitted before. It is now recorded and may
/// proceed.
struct FirstSubmission {
  friend bool operator==(const FirstSubmission&,
                         const FirstSubmission&) = default;
};

/// An earlier submission has not finished. The caller receives kInProgress with
/// an unknown run state.
struct InProgress {
  friend bool operator==(const InProgress&, const InProgress&) = default;
};

/// A backend server has answered an earlier submission. The caller receives
/// kAlreadyRan.
struct AlreadyRan {
  std::uint16_t status = 0;  ///< HTTP status of that answer.

  friend bool operator==(const AlreadyRan&, const AlreadyRan&) = default;
};

/// Answer to a submission.
using LedgerAnswer =
    std::variant<FirstSubmission, InProgress, AlreadyRan, Refusal>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_ONCE_LEDGER_ANSWER_H_
