/// @file
/// Acknowledgement of a release.
#ifndef COMFREYVANE_LIMIT_RELEASE_ACK_H_
#define COMFREYVANE_LIMIT_RELEASE_ACK_H_

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/limit/fwd.h"

namespace comfreyvane {

/// Confirms that the sender has received the release of a grant.
struct ReleaseAck {
  GrantId grant;

  friend bool operator==(const ReleaseAck&, const ReleaseAck&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_RELEASE_ACK_H_
