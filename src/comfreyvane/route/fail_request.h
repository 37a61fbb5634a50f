/// @file
/// Decision not to retry a failed attempt.
#ifndef COMFREYVANE_ROUTE_FAIL_REQUEST_H_
#define COMFREYVANE_ROUTE_FAIL_REQUEST_H_

#include "comfreyvane/base/refusal.h"

namespace comfreyvane {

/// Decision not to retry a failed attempt: the request fails.
struct FailRequest {
  Refusal refusal;
  bool forward_response = false;  ///< Send the server's response to the caller
                                  ///< instead of the refusal.

  friend bool operator==(const FailRequest&, const FailRequest&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_FAIL_REQUEST_H_
