/// @file
/// Checks of a configuration.
#ifndef COMFREYVANE_CONFIG_VALIDATE_H_
#define COMFREYVANE_CONFIG_VALIDATE_H_

#include <vector>

#include "comfreyvane/config/configuration.h"
#include "comfreyvane/config/configuration_error.h"

namespace comfreyvane {

/// @param configuration any configuration.
/// @return every reason for which it cannot be met, in the order of its
///         objects; empty if it can be accepted.
[[nodiscard]] std::vector<ConfigurationError> Validate(
    const Configuration& configuration);

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_VALIDATE_H_
