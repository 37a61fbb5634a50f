/// @file
/// A write of a transaction.
#ifndef COMFREYVANE_STORAGE_TABLE_WRITE_H_
#define COMFREYVANE_STORAGE_TABLE_WRITE_H_

#include <optional>
#include <string>

namespace comfreyvane {

/// Sets a row, or deletes it where there is no value.
struct TableWrite {
  std::string key;
  std::optional<std::string> value;

  friend bool operator==(const TableWrite&, const TableWrite&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STORAGE_TABLE_WRITE_H_
