/// @file
/// Kinds of faults of a configuration's text.
#ifndef COMFREYVANE_CONFIG_PARSE_ERROR_KIND_H_
#define COMFREYVANE_CONFIG_PARSE_ERROR_KIND_H_

#include <string_view>

namespace comfreyvane {

/// What is wrong with the text of a configuration.
enum class ParseErrorKind {
  kSyntax,         ///< Not JSON; nothing after the first of these is read.
  kNotAnObject,    ///< An object was expected.
  kNotAnArray,     ///< An array was expected.
  kNotAString,     ///< A string was expected.
  kNotABoolean,    ///< true or false was expected.
  kNotANumber,     ///< A whole number from zero was expected.
  kOutOfRange,     ///< A number too large for its member.
  kUnknownValue,   ///< A string that is none of its member's values.
  kUnknownMember,  ///< No member has this name.
  kMissingMember,  ///< Each member has to be given.
};

/// @return the name in error lists, such as "unknown-member".
[[nodiscard]] std::string_view Name(ParseErrorKind kind);

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_PARSE_ERROR_KIND_H_
