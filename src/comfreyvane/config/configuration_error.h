/// @file
/// A fault of a configuration.
#ifndef COMFREYVANE_CONFIG_CONFIGURATION_ERROR_H_
#define COMFREYVANE_CONFIG_CONFIGURATION_ERROR_H_

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <string>

#include "comfreyvane/config/configuration_error_kind.h"

namespace comfreyvane {

/// One reason for which a configuration cannot be met.
struct ConfigurationError {
  ConfigurationErrorKind kind = ConfigurationErrorKind::kEmpty;
  std::string object;       ///< Kind and name, such as "service/scripts".
  std::string member;       ///< Such as "shares"; empty for the whole object.
  std::string value;        ///< The offending value, as text.
  std::uint64_t limit = 0;  ///< The bound or sum that is not met, or zero.

  friend auto operator<=>(const ConfigurationError&,
                          const ConfigurationError&) = default;
};

/// Writes "service/scripts: shares: 9000: shares-do-not-add-up (limit 10000)".
std::ostream& operator<<(std::ostream& out, const ConfigurationError& error);

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_CONFIGURATION_ERROR_H_
