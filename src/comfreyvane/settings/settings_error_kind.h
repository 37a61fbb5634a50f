/// @file
/// Kinds of faults of a settings file.
#ifndef COMFREYVANE_SETTINGS_SETTINGS_ERROR_KIND_H_
#define COMFREYVANE_SETTINGS_SETTINGS_ERROR_KIND_H_

#include <string_view>

namespace comfreyvane {

/// What is wrong with a setting.
enum class SettingsErrorKind {
  kFileUnreadable,    ///< The settings file itself.
  kSyntax,            ///< Neither a section, nor name=value, nor a comment.
  kUnknown,           ///< No setting has this name.
  kMissing,           ///< A required setting is not in the file.
  kDuplicate,         ///< Set before; the first stands.
  kNotAName,          ///< Names have letters, digits, '.', '_' and '-'.
  kNotAnIpAddress,    ///< Or no address that the setting can use.
  kNotAPort,          ///< From 1 to 65535.
  kNotANumber,        ///< Not decimal digits only.
  kOutOfRange,        ///< A number outside the setting's range.
  kNotALogLevel,      ///< trace, debug, info, warning, error.
  kPathUnreadable,    ///< The named file is missing, empty or unreadable.
  kTooShort,          ///< The named file holds a secret that is too short.
  kIncomplete,        ///< One of two settings that need each other is missing.
  kEndpointsCollide,  ///< Callers and peers are given the same endpoint.
};

/// @return the name in error lists, such as "not-a-port".
[[nodiscard]] std::string_view Name(SettingsErrorKind kind);

}  // namespace comfreyvane

#endif  // COMFREYVANE_SETTINGS_SETTINGS_ERROR_KIND_H_
