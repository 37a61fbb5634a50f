/// @file
/// A transaction on the table service.
#ifndef COMFREYVANE_STORAGE_TABLE_TRANSACTION_H_
#define COMFREYVANE_STORAGE_TABLE_TRANSACTION_H_

#include <string>
#include <vector>

#include "comfreyvane/storage/table_condition.h"
#include "comfreyvane/storage/table_write.h"

namespace comfreyvane {

/// All writes take effect at once if all conditions hold, and none otherwise.
struct TableTransaction {
  /// Unique to this transaction. The service recognises a repeat by it and
  /// answers as the first time, so a lost answer is repaired by a repeat.
  std::string id;
  std::vector<TableCondition> conditions;
  std::vector<TableWrite> writes;

  friend bool operator==(const TableTransaction&,
                         const TableTransaction&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STORAGE_TABLE_TRANSACTION_H_
