/// @file
/// Faults of a declaration.
#ifndef COMFREYVANE_DECLARE_DECLARATION_ERRORS_H_
#define COMFREYVANE_DECLARE_DECLARATION_ERRORS_H_

#include <filesystem>
#include <iosfwd>
#include <vector>

#include "comfreyvane/config/configuration_error.h"

namespace comfreyvane::declare {

/// Every fault of a declaration. Travels as a Boost.LEAF error object.
struct DeclarationErrors {
  std::vector<std::filesystem::path> unreadable_key_files;
  std::vector<ConfigurationError> errors;

  friend bool operator==(const DeclarationErrors&,
                         const DeclarationErrors&) = default;
};

/// Writes one line a fault.
std::ostream& operator<<(std::ostream& out, const DeclarationErrors& errors);

}  // namespace comfreyvane::declare

#endif  // COMFREYVANE_DECLARE_DECLARATION_ERRORS_H_
