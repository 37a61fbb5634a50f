/// @file
/// Request in a FairQueue.
#ifndef COMFREYVANE_FAIR_FAIR_ENTRY_H_
#define COMFREYVANE_FAIR_FAIR_ENTRY_H_

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// A request in a FairQueue.
/// @tparam Item the owner's handle of the request.
template <typename Item>
struct FairEntry {
  WorkspaceId workspace;
  TimePoint deadline;  ///< Time by which the caller must have the response.
  bool idempotent = true;
  Item item;

  friend bool operator==(const FairEntry&, const FairEntry&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_FAIR_FAIR_ENTRY_H_
