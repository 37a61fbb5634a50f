/// @file
/// A difference between configurations.
#ifndef COMFREYVANE_CONFIG_CONFIGURATION_CHANGE_H_
#define COMFREYVANE_CONFIG_CONFIGURATION_CHANGE_H_

#include <compare>
#include <string>
#include <string_view>

namespace comfreyvane {

/// What happened to an object.
enum class ChangeKind {
  kAdded,
  kRemoved,
  kChanged,
};

/// @return the name in lists of changes, such as "added".
[[nodiscard]] std::string_view Name(ChangeKind kind);

/// One object that two configurations do not have alike.
struct ConfigurationChange {
  ChangeKind kind = ChangeKind::kChanged;
  std::string object;  ///< Kind and name, such as "service/scripts".
  std::string before;  ///< Its section's text; empty if added.
  std::string after;   ///< Its section's text; empty if removed.

  friend auto operator<=>(const ConfigurationChange&,
                          const ConfigurationChange&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_CONFIGURATION_CHANGE_H_
