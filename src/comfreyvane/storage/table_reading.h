/// @file
/// Result of a read of the table service.
#ifndef COMFREYVANE_STORAGE_TABLE_READING_H_
#define COMFREYVANE_STORAGE_TABLE_READING_H_

#include <vector>

#include "comfreyvane/storage/table_row.h"
#include "comfreyvane/storage/table_status.h"

namespace comfreyvane {

/// Result of a read. All rows are of one moment.
struct TableReading {
  TableStatus status = TableStatus::kUnavailable;
  std::vector<TableRow> rows;

  friend bool operator==(const TableReading&, const TableReading&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STORAGE_TABLE_READING_H_
