/// @file
/// Failure of an operator's request.
#ifndef COMFREYVANE_OPERATE_OPERATOR_ERROR_H_
#define COMFREYVANE_OPERATE_OPERATOR_ERROR_H_

#include <vector>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/config/configuration_error.h"
#include "comfreyvane/config/parse_error.h"
#include "comfreyvane/operate/operator_error_kind.h"

namespace comfreyvane {

/// Body of each answer that is no success. Travels as a Boost.LEAF error object
/// too.
struct OperatorError {
  OperatorErrorKind error = OperatorErrorKind::kInternal;
  Revision base_revision;  ///< For a conflict: what the request was made from.
  Revision current_revision;  ///< For a conflict: what is accepted now.
  std::vector<ParseError> parse_errors;                  ///< When malformed.
  std::vector<ConfigurationError> configuration_errors;  ///< When invalid.

  friend bool operator==(const OperatorError&, const OperatorError&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_OPERATOR_ERROR_H_
