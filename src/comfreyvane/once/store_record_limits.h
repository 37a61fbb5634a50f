/// @file
/// Settings of records in the table service.
#ifndef COMFREYVANE_ONCE_STORE_RECORD_LIMITS_H_
#define COMFREYVANE_ONCE_STORE_RECORD_LIMITS_H_

#include <cstddef>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Settings of records in the table service.
struct StoreRecordLimits {
  std::size_t capacity = 4096;  ///< Submissions, and pending_writes ends, each.
  Duration epoch_length = std::chrono::minutes(10);
  Duration initial_backoff = std::chrono::milliseconds(50);  ///< Doubles.
  Duration max_backoff = std::chrono::seconds(2);
  std::size_t max_inserts_in_flight =
      64;  ///< On their way at a time; 1 while it is down.
  std::size_t delete_batch = 50;  ///< Rows a transaction.

  friend bool operator==(const StoreRecordLimits&,
                         const StoreRecordLimits&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ONCE_STORE_RECORD_LIMITS_H_
