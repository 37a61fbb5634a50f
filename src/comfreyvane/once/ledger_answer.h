/// @file
/// What the ledger answers to a submission.
#ifndef COMFREYVANE_ONCE_LEDGER_ANSWER_H_
#define COMFREYVANE_ONCE_LEDGER_ANSWER_H_

#include <cstdint>
#include <variant>

#include "comfreyvane/base/refusal.h"

namespace comfreyvane {

/// The request has not begun before; it is recorded now and may go on.
struct FirstSubmission {
  friend bool operator==(const FirstSubmission&,
                         const FirstSubmission&) = default;
};

/// An earlier submission is on its way. Answer kInProgress, run state unknown.
struct InProgress {
  friend bool operator==(const InProgress&, const InProgress&) = default;
};

/// An earlier submission was answered by a backend server. Answer kAlreadyRan.
struct AlreadyRan {
  std::uint16_t status = 0;  ///< HTTP status of that answer.

  friend bool operator==(const AlreadyRan&, const AlreadyRan&) = default;
};

/// What the ledger answers to a submission.
using LedgerAnswer =
    std::variant<FirstSubmission, InProgress, AlreadyRan, Refusal>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_ONCE_LEDGER_ANSWER_H_
