/// @file
/// Outcome of a CommitShares.
#ifndef COMFREYVANE_LIMIT_SHARES_OUTCOME_H_
#define COMFREYVANE_LIMIT_SHARES_OUTCOME_H_

#include <string>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/storage/table_status.h"

namespace comfreyvane {

/// Event: outcome of a CommitShares.
struct SharesOutcome {
  std::string transaction_id;
  TableStatus status = TableStatus::kUnavailable;
  Revision revision;  ///< Of the written row, if kDone.

  friend bool operator==(const SharesOutcome&, const SharesOutcome&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_SHARES_OUTCOME_H_
