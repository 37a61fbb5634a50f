/// @file
/// Request of a look-up.
#ifndef COMFREYVANE_STEER_LOOKUP_REQUEST_H_
#define COMFREYVANE_STEER_LOOKUP_REQUEST_H_

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/steer/client_address.h"

namespace comfreyvane {

/// A caller's request for the hosts to use for a service.
struct LookupRequest {
  ClientAddress client{};
  ServiceId service{};
  WorkspaceId workspace{};
  /// Whether the caller's requests may run twice. Otherwise an answer names one
  /// host only, as a second host cannot tell what the first has run.
  bool idempotent = true;

  friend bool operator==(const LookupRequest&, const LookupRequest&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_LOOKUP_REQUEST_H_
