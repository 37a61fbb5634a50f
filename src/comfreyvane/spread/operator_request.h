/// @file
/// An operator's change.
#ifndef COMFREYVANE_SPREAD_OPERATOR_REQUEST_H_
#define COMFREYVANE_SPREAD_OPERATOR_REQUEST_H_

#include <string>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/revision.h"
#include "comfreyvane/spread/sectioned_document.h"

namespace comfreyvane {

/// An operator's change.
struct OperatorRequest {
  std::string id;  ///< Unique to the change; the same when it is repeated.
  Revision base;   ///< The revision that the operator saw.
  SectionedDocument document;         ///< What the operator wants.
  std::vector<KeyId> withdrawn_keys;  ///< Keys that stop working by it.

  friend bool operator==(const OperatorRequest&,
                         const OperatorRequest&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_OPERATOR_REQUEST_H_
