/// @file
/// All faults of a settings file.
#ifndef COMFREYVANE_SETTINGS_SETTINGS_ERRORS_H_
#define COMFREYVANE_SETTINGS_SETTINGS_ERRORS_H_

#include <vector>

#include "comfreyvane/settings/settings_error.h"

namespace comfreyvane {

/// Every fault of a settings file, by line. Travels as a Boost.LEAF error
/// object.
struct SettingsErrors {
  std::vector<SettingsError> errors;

  friend bool operator==(const SettingsErrors&,
                         const SettingsErrors&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SETTINGS_SETTINGS_ERRORS_H_
