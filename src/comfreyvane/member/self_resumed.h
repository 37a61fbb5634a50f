/// @file
/// Action: this host was out of touch.
#ifndef COMFREYVANE_MEMBER_SELF_RESUMED_H_
#define COMFREYVANE_MEMBER_SELF_RESUMED_H_

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// This host was paused, or was declared dead while it lived. Whatever it
/// holds has to be proved again before it is used.
struct SelfResumed {
  Duration silent{0};  ///< Length of the pause; zero when declared dead.

  friend bool operator==(const SelfResumed&, const SelfResumed&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_SELF_RESUMED_H_
