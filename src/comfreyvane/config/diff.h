/// @file
/// Differences between configurations.
#ifndef COMFREYVANE_CONFIG_DIFF_H_
#define COMFREYVANE_CONFIG_DIFF_H_

#include <vector>

#include "comfreyvane/config/configuration.h"
#include "comfreyvane/config/configuration_change.h"

namespace comfreyvane {

/// @param before the older configuration.
/// @param after the newer configuration.
/// @return each object that differs: removed ones first, then the others, in
///         canonical order; empty if only the
///         order of objects differs.
[[nodiscard]] std::vector<ConfigurationChange> Diff(const Configuration& before,
                                                    const Configuration& after);

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_DIFF_H_
