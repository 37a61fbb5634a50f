/// @file
/// All faults of a configuration's text.
#ifndef COMFREYVANE_CONFIG_PARSE_ERRORS_H_
#define COMFREYVANE_CONFIG_PARSE_ERRORS_H_

#include <vector>

#include "comfreyvane/config/parse_error.h"

namespace comfreyvane {

/// Every fault of a configuration's text. Travels as a Boost.LEAF error object.
struct ParseErrors {
  std::vector<ParseError> errors;

  friend bool operator==(const ParseErrors&, const ParseErrors&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_PARSE_ERRORS_H_
