/// @file
/// A fault of a configuration's text.
#ifndef COMFREYVANE_CONFIG_PARSE_ERROR_H_
#define COMFREYVANE_CONFIG_PARSE_ERROR_H_

#include <compare>
#include <cstddef>
#include <iosfwd>
#include <string>

#include "comfreyvane/config/parse_error_kind.h"

namespace comfreyvane {

/// One fault, and where it stands.
struct ParseError {
  ParseErrorKind kind = ParseErrorKind::kSyntax;
  std::size_t line = 0;  ///< From 1.
  std::string where;     ///< Such as "services[2].shares[0].parts".

  friend auto operator<=>(const ParseError&, const ParseError&) = default;
};

/// Writes "line 3: services[2].name: not-a-string".
std::ostream& operator<<(std::ostream& out, const ParseError& error);

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_PARSE_ERROR_H_
