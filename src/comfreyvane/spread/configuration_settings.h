/// @file
/// Settings of the configuration core.
#ifndef COMFREYVANE_SPREAD_CONFIGURATION_SETTINGS_H_
#define COMFREYVANE_SPREAD_CONFIGURATION_SETTINGS_H_

#include "comfreyvane/spread/accept_settings.h"
#include "comfreyvane/spread/acceptor_set.h"
#include "comfreyvane/spread/freshness_settings.h"
#include "comfreyvane/spread/spread_settings.h"

namespace comfreyvane {

/// Settings of the configuration core.
struct ConfigurationSettings {
  Acceptor self;  ///< This host and its incarnation.
  SpreadSettings spread;
  FreshnessSettings freshness;
  AcceptSettings accept;
  /// Bound on how much the clocks of two hosts may drift over a proof.
  Duration clock_drift = std::chrono::milliseconds(50);

  friend bool operator==(const ConfigurationSettings&,
                         const ConfigurationSettings&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_CONFIGURATION_SETTINGS_H_
