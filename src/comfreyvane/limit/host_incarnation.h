/// @file
/// A guardian of grants.
#ifndef COMFREYVANE_LIMIT_HOST_INCARNATION_H_
#define COMFREYVANE_LIMIT_HOST_INCARNATION_H_

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/limit/fwd.h"

namespace comfreyvane {

/// One run of a guardian's process. A later run has forgotten its promises and
/// is not the same guardian.
struct HostIncarnation {
  HostId host;
  Incarnation incarnation;

  friend bool operator==(const HostIncarnation&,
                         const HostIncarnation&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_HOST_INCARNATION_H_
