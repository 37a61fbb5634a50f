/// @file
/// Request that a FairQueue dropped.
#ifndef COMFREYVANE_FAIR_FAIR_DROP_H_
#define COMFREYVANE_FAIR_FAIR_DROP_H_

#include "comfreyvane/base/refusal.h"
#include "comfreyvane/fair/fair_entry.h"

namespace comfreyvane {

/// A request that a FairQueue dropped before it ran. The owner must send the
/// refusal to the caller immediately.
template <typename Item>
struct FairDrop {
  FairEntry<Item> entry;
  Refusal refusal;

  friend bool operator==(const FairDrop&, const FairDrop&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_FAIR_FAIR_DROP_H_
