/// @file
/// A fault of a settings file.
#ifndef COMFREYVANE_SETTINGS_SETTINGS_ERROR_H_
#define COMFREYVANE_SETTINGS_SETTINGS_ERROR_H_

#include <compare>
#include <cstddef>
#include <iosfwd>
#include <string>

#include "comfreyvane/settings/settings_error_kind.h"

namespace comfreyvane {

/// One fault, and where it stands.
struct SettingsError {
  std::string file;
  std::size_t line = 0;  ///< From 1; zero for a setting that is missing.
  std::string name;      ///< Such as "caller.port"; empty for the whole line.
  SettingsErrorKind kind = SettingsErrorKind::kSyntax;

  friend auto operator<=>(const SettingsError&, const SettingsError&) = default;
};

/// Writes "file:line: name: kind", without the line where it is zero.
std::ostream& operator<<(std::ostream& out, const SettingsError& error);

}  // namespace comfreyvane

#endif  // COMFREYVANE_SETTINGS_SETTINGS_ERROR_H_
