/// @file
/// Settings of the spread of configurations.
#ifndef COMFREYVANE_SPREAD_SPREAD_SETTINGS_H_
#define COMFREYVANE_SPREAD_SPREAD_SETTINGS_H_

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Settings of the spread of configurations.
struct SpreadSettings {
  Duration notice_period = std::chrono::milliseconds(500);
  Duration repeat_period = std::chrono::milliseconds(150);  ///< Of requests.
  Duration store_period = std::chrono::milliseconds(500);   ///< Of reads.
  /// How long a starting host waits for peers that do not answer.
  Duration start_wait = std::chrono::milliseconds(800);

  friend bool operator==(const SpreadSettings&,
                         const SpreadSettings&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_SPREAD_SETTINGS_H_
