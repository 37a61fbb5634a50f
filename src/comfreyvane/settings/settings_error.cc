#include "comfreyvane/settings/settings_error.h"

#include <ostream>

namespace comfreyvane {

std::ostream& operator<<(std::ostream& out, const SettingsError& error) {
  out << error.file << ':';
  if (error.line != 0)
    out << error.line << ':';
  out << ' ';
  if (!error.name.empty())
    out << error.name << ": ";
  return out << Name(error.kind);
}

}  // namespace comfreyvane
