/// @file
/// Request for a vote on a grant.
#ifndef COMFREYVANE_LIMIT_VOTE_REQUEST_H_
#define COMFREYVANE_LIMIT_VOTE_REQUEST_H_

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/limit/fwd.h"

namespace comfreyvane {

/// Request by the successor that the voter never renews a grant again.
struct VoteRequest {
  GrantId grant;

  friend bool operator==(const VoteRequest&, const VoteRequest&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_VOTE_REQUEST_H_
