/// @file
/// Base of a failed change.
#ifndef COMFREYVANE_CTL_ATTEMPTED_BASE_H_
#define COMFREYVANE_CTL_ATTEMPTED_BASE_H_

#include "comfreyvane/base/revision.h"

namespace comfreyvane::ctl {

/// The base revision of a change that failed or may have. Travels as a
/// Boost.LEAF error object beside the reason.
struct AttemptedBase {
  Revision revision;

  friend bool operator==(const AttemptedBase&, const AttemptedBase&) = default;
};

}  // namespace comfreyvane::ctl

#endif  // COMFREYVANE_CTL_ATTEMPTED_BASE_H_
