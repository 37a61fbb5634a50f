/// @file
/// Periods of the acceptance of changes.
#ifndef COMFREYVANE_SPREAD_ACCEPT_SETTINGS_H_
#define COMFREYVANE_SPREAD_ACCEPT_SETTINGS_H_

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Periods of the acceptance of changes.
struct AcceptSettings {
  Duration repeat_period = std::chrono::milliseconds(200);
  /// After this an operator is told that the outcome is unknown; the acceptor
  /// goes on to find it out.
  Duration answer_timeout = std::chrono::seconds(3);

  friend bool operator==(const AcceptSettings&,
                         const AcceptSettings&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_ACCEPT_SETTINGS_H_
