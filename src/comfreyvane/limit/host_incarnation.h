/// @file
/// Identifies one run of a host's process.
#ifndef COMFREYVANE_LIMIT_HOST_INCARNATION_H_
#define COMFREYVANE_LIMIT_HOST_INCARNATION_H_

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/limit/fwd.h"

namespace comfreyvane {

/// Identifies one run of a host's process. A restarted process has lost the
/// votes and renewals that it gave as a witness, so it counts as another
/// witness.
struct HostIncarnation {
  HostId host;
  Incarnation incarnation;

  friend bool operator==(const HostIncarnation&,
                         const HostIncarnation&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_HOST_INCARNATION_H_
