/// @file
/// Errors of package spread.
#ifndef COMFREYVANE_SPREAD_SPREAD_ERROR_H_
#define COMFREYVANE_SPREAD_SPREAD_ERROR_H_

#include <string_view>

namespace comfreyvane {

/// Why a document, a delta or a row cannot be used. Travels as a Boost.LEAF
/// error object.
enum class SpreadError {
  kMalformed,       ///< The text does not parse.
  kBaseMismatch,    ///< The delta belongs to another document.
  kDigestMismatch,  ///< The result is not what the sender had.
};

/// @return the name in logs and counters, such as "base-mismatch".
[[nodiscard]] std::string_view Name(SpreadError error);

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_SPREAD_ERROR_H_
