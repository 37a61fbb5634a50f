/// @file
/// Request for the renewal of a grant.
#ifndef COMFREYVANE_LIMIT_RENEWAL_REQUEST_H_
#define COMFREYVANE_LIMIT_RENEWAL_REQUEST_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/limit/fwd.h"
#include "comfreyvane/limit/host_incarnation.h"

namespace comfreyvane {

/// Request by the holder of a grant to one of its witnesses.
struct RenewalRequest {
  GrantId grant;
  HostIncarnation successor;  ///< Takes over the dynamic units after a vote.
  HostIncarnation voter;      ///< The other witness; votes on a takeover.
  std::int64_t dynamic = 0;   ///< Share units to renew from now on.
  Duration remaining{0};      ///< Time left of the grant's long lease.

  friend bool operator==(const RenewalRequest&,
                         const RenewalRequest&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_RENEWAL_REQUEST_H_
