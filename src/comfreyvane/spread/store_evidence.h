/// @file
/// What a read of the store has shown.
#ifndef COMFREYVANE_SPREAD_STORE_EVIDENCE_H_
#define COMFREYVANE_SPREAD_STORE_EVIDENCE_H_

#include "comfreyvane/base/time.h"
#include "comfreyvane/spread/head_row.h"

namespace comfreyvane {

/// The head row as read, and how long ago the read was begun.
struct StoreEvidence {
  HeadRow head;
  Duration age{0};

  friend bool operator==(const StoreEvidence&, const StoreEvidence&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_STORE_EVIDENCE_H_
