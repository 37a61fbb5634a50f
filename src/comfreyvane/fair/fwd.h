/// @file
/// Forward declarations of package fair.
#ifndef COMFREYVANE_FAIR_FWD_H_
#define COMFREYVANE_FAIR_FWD_H_

#include "comfreyvane/base/fwd.h"

namespace comfreyvane {

struct FairOptions;
struct WorkspaceServiceStats;
template <typename Item>
struct FairEntry;
template <typename Item>
struct FairDrop;
template <typename Item>
class FairQueue;

}  // namespace comfreyvane

#endif  // COMFREYVANE_FAIR_FWD_H_
