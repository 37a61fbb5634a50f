/// @file
/// A condition of a transaction.
#ifndef COMFREYVANE_STORAGE_TABLE_CONDITION_H_
#define COMFREYVANE_STORAGE_TABLE_CONDITION_H_

#include <string>

#include "comfreyvane/base/revision.h"

namespace comfreyvane {

/// Holds if the row stands at this revision. Zero: the row must not exist.
struct TableCondition {
  std::string key;
  Revision revision;

  friend bool operator==(const TableCondition&,
                         const TableCondition&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STORAGE_TABLE_CONDITION_H_
