/// @file
/// Action that writes the share table.
#ifndef COMFREYVANE_LIMIT_COMMIT_SHARES_H_
#define COMFREYVANE_LIMIT_COMMIT_SHARES_H_

#include <string>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/limit/share_table.h"

namespace comfreyvane {

/// Action: write the table if the revision of its row equals `condition`.
struct CommitShares {
  std::string transaction_id;  ///< The same for each retry.
  Revision condition;          ///< Zero: the row must not exist.
  ShareTable table;

  friend bool operator==(const CommitShares&, const CommitShares&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_COMMIT_SHARES_H_
