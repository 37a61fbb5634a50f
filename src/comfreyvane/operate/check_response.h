/// @file
/// Answer to a check.
#ifndef COMFREYVANE_OPERATE_CHECK_RESPONSE_H_
#define COMFREYVANE_OPERATE_CHECK_RESPONSE_H_

#include <vector>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/config/configuration_change.h"
#include "comfreyvane/config/configuration_error.h"

namespace comfreyvane {

/// Body of the answer to POST /v1/config/check.
struct CheckResponse {
  Revision base_revision;                  ///< What it was compared with.
  std::vector<ConfigurationError> errors;  ///< Empty: it can be accepted.
  std::vector<ConfigurationChange> changes;

  friend bool operator==(const CheckResponse&, const CheckResponse&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_CHECK_RESPONSE_H_
