/// @file
/// Decision not to repeat an attempt.
#ifndef COMFREYVANE_ROUTE_FAIL_REQUEST_H_
#define COMFREYVANE_ROUTE_FAIL_REQUEST_H_

#include "comfreyvane/base/refusal.h"

namespace comfreyvane {

/// Decision not to repeat an attempt.
struct FailRequest {
  Refusal refusal;
  bool forward_response =
      false;  ///< The server's own answer goes to the caller.

  friend bool operator==(const FailRequest&, const FailRequest&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_FAIL_REQUEST_H_
