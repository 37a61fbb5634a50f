/// @file
/// Actions of the acceptance of changes.
#ifndef COMFREYVANE_SPREAD_ACCEPT_ACTION_H_
#define COMFREYVANE_SPREAD_ACCEPT_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "comfreyvane/spread/apply_result.h"
#include "comfreyvane/spread/configuration_delta.h"
#include "comfreyvane/storage/table_transaction.h"

namespace comfreyvane {

/// Read rows of the table service.
struct ReadRows {
  std::uint64_t number = 0;  ///< Unique to the read of this core.
  std::vector<std::string> keys;

  friend bool operator==(const ReadRows&, const ReadRows&) = default;
};

/// Commit a transaction on the table service.
struct CommitRows {
  TableTransaction transaction;

  friend bool operator==(const CommitRows&, const CommitRows&) = default;
};

/// Answer an operator.
struct AnswerOperator {
  ApplyResult result;

  friend bool operator==(const AnswerOperator&,
                         const AnswerOperator&) = default;
};

/// A change is accepted: SpreadCore::OnAccepted is to be told.
struct DeltaAccepted {
  ConfigurationDelta delta;

  friend bool operator==(const DeltaAccepted&, const DeltaAccepted&) = default;
};

/// An action of AcceptCore or AcceptorCore.
using AcceptAction =
    std::variant<ReadRows, CommitRows, AnswerOperator, DeltaAccepted>;

/// Actions in the order in which they are to be taken.
using AcceptActions = std::vector<AcceptAction>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_ACCEPT_ACTION_H_
