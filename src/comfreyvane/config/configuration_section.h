/// @file
/// One object of a configuration as text.
#ifndef COMFREYVANE_CONFIG_CONFIGURATION_SECTION_H_
#define COMFREYVANE_CONFIG_CONFIGURATION_SECTION_H_

#include <compare>
#include <string>

namespace comfreyvane {

/// One object of a configuration. Configurations spread and differ by
/// sections.
struct ConfigurationSection {
  std::string name;  ///< Kind and name, such as "service/scripts".
  std::string text;  ///< JSON on one line.

  friend auto operator<=>(const ConfigurationSection&,
                          const ConfigurationSection&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_CONFIGURATION_SECTION_H_
