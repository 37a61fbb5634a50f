/// @file
/// Reply to a RenewalRequest.
#ifndef COMFREYVANE_LIMIT_GRANT_RENEWAL_H_
#define COMFREYVANE_LIMIT_GRANT_RENEWAL_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/limit/fwd.h"

namespace comfreyvane {

/// Renewal by a witness of the lease on the dynamic units of a grant.
struct GrantRenewal {
  GrantId grant;
  std::int64_t dynamic = 0;  ///< Share units that the witness has recorded.
  bool fenced = false;       ///< Rejected: the witness never renews again.
  Duration lifetime{0};      ///< Counts from the echoed stamp.

  friend bool operator==(const GrantRenewal&, const GrantRenewal&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_GRANT_RENEWAL_H_
