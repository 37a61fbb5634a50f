/// @file
/// Settings of records in the table service.
#ifndef COMFREYVANE_ONCE_STORE_RECORD_LIMITS_H_
#define COMFREYVANE_ONCE_STORE_RECORD_LIMITS_H_

#include <cstddef>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Settings of records in the table service.
struct StoreRecordLimits {
  /// Maximum number of submissions, and likewise of pending writes.
  std::size_t capacity = 4096;
  Duration epoch_length = std::chrono::minutes(10);
  Duration initial_backoff =
      std::chrono::milliseconds(50);  ///< Doubled per retry.
  Duration max_backoff = std::chrono::seconds(2);
  /// One while the table service is down.
  std::size_t max_inserts_in_flight = 64;
  std::size_t delete_batch = 50;  ///< Rows per transaction.

  friend bool operator==(const StoreRecordLimits&,
                         const StoreRecordLimits&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ONCE_STORE_RECORD_LIMITS_H_
