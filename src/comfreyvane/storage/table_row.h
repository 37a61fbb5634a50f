/// @file
/// A row of the table service.
#ifndef COMFREYVANE_STORAGE_TABLE_ROW_H_
#define COMFREYVANE_STORAGE_TABLE_ROW_H_

#include <string>

#include "comfreyvane/base/revision.h"

namespace comfreyvane {

/// A row as read. Revision zero: the row does not exist.
struct TableRow {
  std::string key;
  std::string value;
  Revision revision;

  friend bool operator==(const TableRow&, const TableRow&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STORAGE_TABLE_ROW_H_
