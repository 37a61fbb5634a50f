/// @file
/// Request to apply a configuration.
#ifndef COMFREYVANE_OPERATE_APPLY_REQUEST_H_
#define COMFREYVANE_OPERATE_APPLY_REQUEST_H_

#include <string>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/config/configuration.h"

namespace comfreyvane {

/// Body of POST /v1/config/apply.
struct ApplyRequest {
  Revision base_revision;  ///< What the change was made from; zero for none.
  std::string request_id;  ///< The same when repeated after a lost answer.
  Configuration configuration;

  friend bool operator==(const ApplyRequest&, const ApplyRequest&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_APPLY_REQUEST_H_
