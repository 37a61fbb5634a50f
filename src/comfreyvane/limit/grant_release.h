/// @file
/// Release of a grant by a stopping host.
#ifndef COMFREYVANE_LIMIT_GRANT_RELEASE_H_
#define COMFREYVANE_LIMIT_GRANT_RELEASE_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/limit/fwd.h"

namespace comfreyvane {

/// Transfers a whole grant from a stopping holder to one of its witnesses.
struct GrantRelease {
  GrantId grant;
  std::int64_t base = 0;
  std::int64_t dynamic = 0;
  Duration remaining{0};  ///< Time left of the grant's long lease.
  Duration hold_off{0};   ///< Until all loans of its units have expired.

  friend bool operator==(const GrantRelease&, const GrantRelease&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_GRANT_RELEASE_H_
