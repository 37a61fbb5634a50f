/// @file
/// Where the newest revision is in force.
#ifndef COMFREYVANE_SPREAD_IN_FORCE_STATUS_H_
#define COMFREYVANE_SPREAD_IN_FORCE_STATUS_H_

#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/revision.h"

namespace comfreyvane {

/// Where the newest accepted revision is in force.
struct InForceStatus {
  Revision accepted;
  Revision in_force;  ///< On every live host, or its lease has lapsed.
  std::vector<HostId> lagging;  ///< May still serve keyed work by an older one.
  std::vector<HostId> lapsed;   ///< Not confirmed; serve no keyed work.

  friend bool operator==(const InForceStatus&, const InForceStatus&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_IN_FORCE_STATUS_H_
