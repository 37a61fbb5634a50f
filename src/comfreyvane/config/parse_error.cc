#include "comfreyvane/config/parse_error.h"

#include <ostream>

namespace comfreyvane {

std::string_view Name(ParseErrorKind kind) {
  switch (kind) {
    case ParseErrorKind::kSyntax:
      return "syntax";
    case ParseErrorKind::kNotAnObject:
      return "not-an-object";
    case ParseErrorKind::kNotAnArray:
      return "not-an-array";
    case ParseErrorKind::kNotAString:
      return "not-a-string";
    case ParseErrorKind::kNotABoolean:
      return "not-a-boolean";
    case ParseErrorKind::kNotANumber:
      return "not-a-number";
    case ParseErrorKind::kOutOfRange:
      return "out-of-range";
    case ParseErrorKind::kUnknownValue:
      return "unknown-value";
    case ParseErrorKind::kUnknownMember:
      return "unknown-member";
    case ParseErrorKind::kMissingMember:
      return "missing-member";
  }
  return "syntax";
}

std::ostream& operator<<(std::ostream& out, const ParseError& error) {
  out << "line " << error.line << ": ";
  if (!error.where.empty())
    out << error.where << ": ";
  return out << Name(error.kind);
}

}  // namespace comfreyvane
