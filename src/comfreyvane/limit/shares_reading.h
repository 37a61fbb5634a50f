/// @file
/// Result of a read of the share table.
#ifndef COMFREYVANE_LIMIT_SHARES_READING_H_
#define COMFREYVANE_LIMIT_SHARES_READING_H_

#include "comfreyvane/base/revision.h"
#include "comfreyvane/limit/share_table.h"
#include "comfreyvane/storage/table_status.h"

namespace comfreyvane {

/// Event: result of a read of the row of the share table.
struct SharesReading {
  TableStatus status = TableStatus::kUnavailable;
  Revision revision;  ///< Zero: the row does not exist.
  ShareTable table;

  friend bool operator==(const SharesReading&, const SharesReading&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_SHARES_READING_H_
