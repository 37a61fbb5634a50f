/// @file
/// Request to check a configuration.
#ifndef COMFREYVANE_OPERATE_CHECK_REQUEST_H_
#define COMFREYVANE_OPERATE_CHECK_REQUEST_H_

#include "comfreyvane/config/configuration.h"

namespace comfreyvane {

/// Body of POST /v1/config/check. Changes nothing.
struct CheckRequest {
  Configuration configuration;

  friend bool operator==(const CheckRequest&, const CheckRequest&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_CHECK_REQUEST_H_
