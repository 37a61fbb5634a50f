/// @file
/// Decision to retry a failed attempt.
#ifndef COMFREYVANE_ROUTE_RETRY_H_
#define COMFREYVANE_ROUTE_RETRY_H_

#include "comfreyvane/base/retry_reason.h"
#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Decision to retry a failed attempt.
struct Retry {
  RetryReason reason = RetryReason::kConnectFailed;
  Duration backoff{0};  ///< Time to wait before the next attempt.
  /// Value of Attempt::sent_before in the next attempt.
  bool may_have_run = false;

  friend bool operator==(const Retry&, const Retry&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_RETRY_H_
