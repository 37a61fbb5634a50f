/// @file
/// Result of a read of the object store.
#ifndef COMFREYVANE_STORAGE_OBJECT_READING_H_
#define COMFREYVANE_STORAGE_OBJECT_READING_H_

#include <string>

#include "comfreyvane/storage/table_status.h"

namespace comfreyvane {

/// Result of a read of one object.
struct ObjectReading {
  TableStatus status = TableStatus::kUnavailable;
  bool found = false;
  std::string content;

  friend bool operator==(const ObjectReading&, const ObjectReading&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STORAGE_OBJECT_READING_H_
