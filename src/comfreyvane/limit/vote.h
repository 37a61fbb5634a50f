/// @file
/// Vote on a grant.
#ifndef COMFREYVANE_LIMIT_VOTE_H_
#define COMFREYVANE_LIMIT_VOTE_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/limit/fwd.h"

namespace comfreyvane {

/// Promise of the voter that its renewals of a grant have all expired and that
/// it never renews the grant again.
struct Vote {
  GrantId grant;
  std::int64_t dynamic = 0;  ///< As recorded; kTotalUnits if not recorded.

  friend bool operator==(const Vote&, const Vote&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_VOTE_H_
