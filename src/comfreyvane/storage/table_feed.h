/// @file
/// Result of following a table.
#ifndef COMFREYVANE_STORAGE_TABLE_FEED_H_
#define COMFREYVANE_STORAGE_TABLE_FEED_H_

#include <cstdint>
#include <vector>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/storage/table_row.h"
#include "comfreyvane/storage/table_status.h"

namespace comfreyvane {

/// Rows of one table: all of them, or those changed since a position.
struct TableFeed {
  TableStatus status = TableStatus::kUnavailable;
  bool history_lost = false;  ///< The position is too old: read all rows.
  /// A row of revision zero was deleted.
  std::vector<TableRow> rows;
  Revision position;  ///< Where to go on.
  /// Rises when the store comes back from an older copy of its rows; revisions
  /// of different eras do not compare. 0: the store did not say.
  std::uint64_t era = 0;

  friend bool operator==(const TableFeed&, const TableFeed&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STORAGE_TABLE_FEED_H_
