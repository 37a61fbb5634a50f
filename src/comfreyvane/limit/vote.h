/// @file
/// Vote on a grant.
#ifndef COMFREYVANE_LIMIT_VOTE_H_
#define COMFREYVANE_LIMIT_VOTE_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/limit/fwd.h"

namespace comfreyvane {

/// The voter's promise never to renew a grant again, all its renewals lapsed.
struct Vote {
  GrantId grant;
  std::int64_t dynamic = 0;  ///< As recorded; kTotalUnits without a record.

  friend bool operator==(const Vote&, const Vote&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_VOTE_H_
