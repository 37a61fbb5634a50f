/// @file
/// Outcome of a transaction.
#ifndef COMFREYVANE_STORAGE_TABLE_OUTCOME_H_
#define COMFREYVANE_STORAGE_TABLE_OUTCOME_H_

#include <cstdint>
#include <string>
#include <vector>

#include "comfreyvane/storage/table_row.h"
#include "comfreyvane/storage/table_status.h"

namespace comfreyvane {

/// Outcome of a transaction.
struct TableOutcome {
  std::string transaction_id;
  TableStatus status = TableStatus::kUnavailable;
  Revision revision;                ///< Of the written rows, when done.
  std::vector<TableRow> conflicts;  ///< Rows that failed a condition, as read.
  std::uint64_t era = 0;            ///< See TableFeed.

  friend bool operator==(const TableOutcome&, const TableOutcome&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STORAGE_TABLE_OUTCOME_H_
