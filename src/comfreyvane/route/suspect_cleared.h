/// @file
/// Message that clears a suspected request.
#ifndef COMFREYVANE_ROUTE_SUSPECT_CLEARED_H_
#define COMFREYVANE_ROUTE_SUSPECT_CLEARED_H_

#include "comfreyvane/base/basic_id.h"

namespace comfreyvane {

/// Message between hosts: a request suspected of crashing servers has
/// completed. The receiver passes it to CrashGuard::OnCompleted.
struct SuspectCleared {
  RequestId request;

  friend bool operator==(const SuspectCleared&,
                         const SuspectCleared&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_SUSPECT_CLEARED_H_
