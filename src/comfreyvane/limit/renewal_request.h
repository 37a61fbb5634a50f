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

/// The holder of a grant renewal_requests a guardian for a renewal.
struct RenewalRequest {
  GrantId grant;
  HostIncarnation successor;  ///< Takes the dynamic part over, with a vote.
  HostIncarnation voter;      ///< The other guardian.
  std::int64_t dynamic = 0;   ///< Share units under guard from now on.
  Duration remaining{0};      ///< Of the grant's long lease.

  friend bool operator==(const RenewalRequest&,
                         const RenewalRequest&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_RENEWAL_REQUEST_H_
